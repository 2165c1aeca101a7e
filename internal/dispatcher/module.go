package dispatcher

import (
	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"github.com/camphorrack/camphorrack/internal/daemon"
)

// Module wires the daemon for fx.
func Module(o Options) fx.Option {
	return fx.Options(
		fx.Supply(o),
		fx.Provide(newLogger, New),
		fx.StopTimeout(o.Grace),
		fx.Invoke(run),
	)
}

func newLogger(life fx.Lifecycle) logr.Logger { return daemon.Logger(life, Program, 0) }

func run(life fx.Lifecycle, shutdown fx.Shutdowner, d *Dispatcher) {
	daemon.Service{Start: d.Start, Ended: nil, Stop: d.Stop}.Register(life, shutdown)
}

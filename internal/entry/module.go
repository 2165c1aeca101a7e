package entry

import (
	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"github.com/camphorrack/camphorrack/internal/daemon"
)

// Module wires the daemon for fx. A drain that an operator asked for ends the
// program like a signal does.
func Module(o *Options) fx.Option {
	return fx.Options(
		fx.Supply(*o),
		fx.Provide(newLogger, New),
		fx.StopTimeout(o.drainTimeout()+2*closeTimeout),
		fx.Invoke(run),
	)
}

func newLogger(life fx.Lifecycle, o Options) logr.Logger {
	return daemon.Logger(life, Program, o.LogLevel)
}

func run(life fx.Lifecycle, shutdown fx.Shutdowner, e *Entry) {
	daemon.Service{Start: e.Start, Ended: e.Drained(), Stop: e.Stop}.Register(life, shutdown)
}

package agent

import (
	"runtime"

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
		fx.StopTimeout(o.DrainTimeout+2*closeTimeout),
		fx.Invoke(run),
	)
}

func newLogger(life fx.Lifecycle, o Options) logr.Logger {
	return daemon.Logger(life, Program, o.LogLevel)
}

func run(life fx.Lifecycle, shutdown fx.Shutdowner, a *Agent) {
	start := func() {
		runtime.GOMAXPROCS(min(a.o.Processors, runtime.GOMAXPROCS(0)))
		a.Start()
	}
	daemon.Service{Start: start, Ended: a.EndAsked(), Stop: a.Stop}.Register(life, shutdown)
}

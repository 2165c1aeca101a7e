package agent

import (
	"runtime"

	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"github.com/camphorrack/camphorrack/internal/daemon"
)

// Module returns the fx module that runs the daemon with these settings. A drain that an
// operator has requested ends the program, as a signal does.
func Module(o *Options) fx.Option {
	return daemon.Program[*Agent]{
		Name: Program, LogLevel: o.LogLevel, StopTimeout: o.DrainTimeout + 2*closeTimeout,
		New: func(log logr.Logger) (*Agent, error) { return New(*o, log) },
		Service: func(a *Agent) daemon.Service {
			start := func() {
				runtime.GOMAXPROCS(min(o.Processors, runtime.GOMAXPROCS(0)))
				a.Start()
			}
			return daemon.Service{Start: start, Done: a.ShutdownRequested(), Stop: a.Stop}
		},
	}.Module()
}

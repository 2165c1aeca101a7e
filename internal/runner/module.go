package runner

import (
	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"github.com/camphorrack/camphorrack/internal/daemon"
)

// Module returns the fx module that starts and stops the daemon.
func Module(o Options) fx.Option {
	return daemon.Program[*Runner]{
		Name: Program, StopTimeout: o.Grace,
		New: func(log logr.Logger) (*Runner, error) { return New(o, log) },
		Service: func(r *Runner) daemon.Service {
			return daemon.Service{Start: r.Start, Stop: r.Stop}
		},
	}.Module()
}

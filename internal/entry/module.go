package entry

import (
	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"github.com/camphorrack/camphorrack/internal/daemon"
)

// Module provides the daemon to fx. A drain requested by an operator ends the program as a
// signal does.
func Module(o *Options) fx.Option {
	return daemon.Program[*Entry]{
		Name: Program, LogLevel: o.LogLevel, StopTimeout: o.drainTimeout() + 2*closeTimeout,
		New: func(log logr.Logger) (*Entry, error) { return New(*o, log) },
		Service: func(e *Entry) daemon.Service {
			return daemon.Service{Start: e.Start, Done: e.Done(), Stop: e.Stop}
		},
	}.Module()
}

package dispatcher

import (
	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"github.com/camphorrack/camphorrack/internal/daemon"
)

// Module returns the fx module of the daemon.
func Module(o Options) fx.Option {
	return daemon.Program[*Dispatcher]{
		Name: Program, StopTimeout: o.Grace,
		New: func(log logr.Logger) (*Dispatcher, error) { return New(o, log) },
		Service: func(d *Dispatcher) daemon.Service {
			return daemon.Service{Start: d.Start, Stop: d.Stop}
		},
	}.Module()
}

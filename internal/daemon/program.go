package daemon

import (
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/fx"
)

// Program is a daemon of type D as its package describes it to fx.
type Program[D any] struct {
	Name        string
	LogLevel    int
	StopTimeout time.Duration // of the whole program, after a signal
	New         func(logr.Logger) (D, error)
	Service     func(D) Service
}

// Module wires the daemon for fx, with a logger that outlives it.
func (p Program[D]) Module() fx.Option {
	return fx.Options(
		fx.Provide(func(life fx.Lifecycle) logr.Logger { return NewLogger(life, p.Name, p.LogLevel) }, p.New),
		fx.StopTimeout(p.StopTimeout),
		fx.Invoke(func(life fx.Lifecycle, shutdown fx.Shutdowner, d D) { p.Service(d).Register(life, shutdown) }),
	)
}

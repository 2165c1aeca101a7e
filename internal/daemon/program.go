package daemon

import (
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/fx"
)

// Program describes a daemon of type D: how to construct it and how to run it under fx.
type Program[D any] struct {
	Name        string
	LogLevel    int
	StopTimeout time.Duration // limit of the graceful shutdown of the whole program
	New         func(logr.Logger) (D, error)
	Service     func(D) Service
}

// Module returns the fx module that constructs and runs the daemon, with a logger that is
// closed after the daemon has stopped.
func (p Program[D]) Module() fx.Option {
	return fx.Options(
		fx.Provide(func(lifecycle fx.Lifecycle) logr.Logger { return NewLogger(lifecycle, p.Name, p.LogLevel) }, p.New),
		fx.StopTimeout(p.StopTimeout),
		fx.Invoke(func(lifecycle fx.Lifecycle, shutdown fx.Shutdowner, d D) { p.Service(d).Register(lifecycle, shutdown) }),
	)
}

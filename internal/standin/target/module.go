package target

import (
	"context"
	"os"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"github.com/camphorrack/camphorrack/internal/logging"
)

// stopTimeout bounds the graceful shutdown, which waits for running tasks; the longest take
// seconds.
const stopTimeout = time.Minute

// Module returns the fx module that runs the stand-in target.
func Module(o *Options) fx.Option {
	return fx.Options(
		fx.Supply(*o),
		fx.Provide(newLogger, New),
		fx.StopTimeout(stopTimeout),
		fx.Invoke(registerHooks),
	)
}

func newLogger() logr.Logger { return logging.New(os.Stderr, Program, logging.LevelInfo) }

func registerHooks(life fx.Lifecycle, s *Server) {
	life.Append(fx.Hook{
		OnStart: func(context.Context) error {
			s.Start()
			return nil
		},
		OnStop: s.Stop,
	})
}

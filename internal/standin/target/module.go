package target

import (
	"context"
	"os"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"github.com/camphorrack/camphorrack/internal/logging"
)

// stopTimeout bounds the end of a leaving target: its longest tasks take seconds.
const stopTimeout = time.Minute

// Module wires the stand-in for fx.
func Module(o *Options) fx.Option {
	return fx.Options(
		fx.Supply(*o),
		fx.Provide(newLogger, New),
		fx.StopTimeout(stopTimeout),
		fx.Invoke(run),
	)
}

func newLogger() logr.Logger { return logging.New(os.Stderr, Program, logging.LevelInfo) }

func run(life fx.Lifecycle, s *Server) {
	life.Append(fx.Hook{
		OnStart: func(context.Context) error {
			s.Start()
			return nil
		},
		OnStop: s.Stop,
	})
}

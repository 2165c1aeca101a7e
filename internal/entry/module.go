package entry

import (
	"context"
	"os"

	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"github.com/camphorrack/camphorrack/internal/logging"
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

// newLogger is made before the daemon, so that its end comes after the daemon's.
func newLogger(life fx.Lifecycle, o Options) logr.Logger {
	buffer := logging.NewBuffer(os.Stderr)
	life.Append(fx.StopHook(buffer.Close))
	return logging.New(buffer, Program, o.LogLevel)
}

func run(life fx.Lifecycle, shutdown fx.Shutdowner, e *Entry) {
	life.Append(fx.Hook{
		OnStart: func(context.Context) error {
			e.Start()
			go func() {
				<-e.Drained()
				_ = shutdown.Shutdown() // fails only when the program is ending already
			}()
			return nil
		},
		OnStop: e.Stop,
	})
}

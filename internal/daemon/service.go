package daemon

import (
	"context"
	"os"

	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"github.com/camphorrack/camphorrack/internal/logging"
)

// Service is a daemon as fx runs it.
type Service struct {
	Start func()
	// Done is closed when the service has finished by itself, such as after a drain
	// that an operator asked for; the program then ends like after a signal.
	Done <-chan struct{}
	Stop func(context.Context) error
}

// Register ties the service to the program's life.
func (s Service) Register(life fx.Lifecycle, shutdown fx.Shutdowner) {
	life.Append(fx.Hook{
		OnStart: func(context.Context) error {
			s.Start()
			go func() {
				<-s.Done
				_ = shutdown.Shutdown() // fails only when the program is ending already
			}()
			return nil
		},
		OnStop: s.Stop,
	})
}

// NewLogger returns a program's logger to stdout. Made before the daemon, as fx does,
// it is closed after the daemon has stopped.
func NewLogger(life fx.Lifecycle, program string, level int) logr.Logger {
	buffer := logging.NewBuffer(os.Stdout)
	life.Append(fx.StopHook(buffer.Close))
	return logging.New(buffer, program, level)
}

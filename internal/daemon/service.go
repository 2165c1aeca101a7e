package daemon

import (
	"context"
	"os"

	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"github.com/camphorrack/camphorrack/internal/logging"
)

// Service is the lifecycle of a daemon under fx. Start must not block.
type Service struct {
	Start func()
	// Done is closed when the service requests the end of the process, such as when an
	// operator has requested a drain. The program then stops as after a signal. A nil
	// channel is allowed: the service then runs until a signal.
	Done <-chan struct{}
	Stop func(context.Context) error
}

// Register hooks the service into the lifecycle of the fx application.
func (s Service) Register(lifecycle fx.Lifecycle, shutdown fx.Shutdowner) {
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			s.Start()
			go func() {
				<-s.Done
				_ = shutdown.Shutdown() // fails only if the program is stopping already
			}()
			return nil
		},
		OnStop: s.Stop,
	})
}

// NewLogger returns a buffered logger to stdout that is closed on stop. fx runs stop hooks in
// reverse order and constructs the logger before the daemon, so the daemon can log until it
// has stopped.
func NewLogger(lifecycle fx.Lifecycle, program string, level int) logr.Logger {
	buffer := logging.NewBuffer(os.Stdout)
	lifecycle.Append(fx.StopHook(buffer.Close))
	return logging.New(buffer, program, level)
}

package daemon

import (
	"context"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/fx"
)

// Guards against a daemon that a SIGTERM during its start kills, without its graceful shutdown.
func TestSignalDuringTheStart(t *testing.T) {
	stopped := false
	Run("test", fx.Invoke(func(lifecycle fx.Lifecycle) {
		lifecycle.Append(fx.Hook{
			OnStart: func(context.Context) error { return syscall.Kill(syscall.Getpid(), syscall.SIGTERM) },
			OnStop:  func(context.Context) error { stopped = true; return nil },
		})
	}))
	NewWithT(t).Expect(stopped).To(BeTrue())
}

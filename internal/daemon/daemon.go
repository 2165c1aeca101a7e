// Package daemon runs an fx module as a process, with graceful shutdown on a signal or at the
// request of the module.
package daemon

import (
	"context"
	"fmt"
	"os"

	"go.uber.org/fx"
)

// Run starts the module, waits for SIGTERM, SIGINT or a shutdown request of the module, and
// stops it within its fx.StopTimeout. If starting or stopping fails, it prints the error to
// stderr and exits with status 1.
func Run(program string, module fx.Option) {
	app := fx.New(fx.NopLogger, module)
	ended := app.Wait() // takes over the handling of signals
	if err := app.Start(context.Background()); err != nil {
		exit(program, err)
	}
	<-ended
	ctx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	if err := app.Stop(ctx); err != nil {
		exit(program, err)
	}
}

// exit prints err to stderr and exits with status 1.
func exit(program string, err error) {
	fmt.Fprintln(os.Stderr, program+":", err)
	os.Exit(1)
}

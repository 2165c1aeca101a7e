// Package daemon runs a program until a signal or the program itself ends it.
package daemon

import (
	"context"
	"fmt"
	"os"

	"go.uber.org/fx"
)

// Run starts the module, waits for SIGTERM, SIGINT or a shutdown that the module
// asks for, and stops it within its stop timeout. A failure to start or to stop is
// printed and ends the process with status 1.
func Run(program string, module fx.Option) {
	app := fx.New(fx.NopLogger, module)
	if err := app.Start(context.Background()); err != nil {
		exit(program, err)
	}
	<-app.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	if err := app.Stop(ctx); err != nil {
		exit(program, err)
	}
}

func exit(program string, err error) {
	fmt.Fprintln(os.Stderr, program+":", err)
	os.Exit(1)
}

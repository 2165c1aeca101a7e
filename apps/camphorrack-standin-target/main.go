// Command camphorrack-standin-target stands in for a back end in tests and trials.
package main

import (
	"context"
	"fmt"
	"os"

	"go.uber.org/fx"

	"github.com/camphorrack/camphorrack/internal/settings"
	"github.com/camphorrack/camphorrack/internal/standin/target"
)

func main() {
	set := settings.New(target.Program, os.Stdout)
	options := target.Define(set)
	set.LoadOS()
	app := fx.New(fx.NopLogger, target.Module(options))
	if err := app.Start(context.Background()); err != nil {
		exit(err)
	}
	<-app.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancel()
	if err := app.Stop(ctx); err != nil {
		exit(err)
	}
}

func exit(err error) {
	fmt.Fprintln(os.Stderr, target.Program+":", err)
	os.Exit(1)
}

// Command camphorrack-entry is the daemon that callers submit to.
package main

import (
	"context"
	"fmt"
	"os"

	"go.uber.org/fx"

	"github.com/camphorrack/camphorrack/internal/entry"
	"github.com/camphorrack/camphorrack/internal/settings"
)

func main() {
	set := settings.New(entry.Program, os.Stdout)
	options := entry.Define(set)
	set.LoadOS()
	app := fx.New(fx.NopLogger, entry.Module(options))
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
	fmt.Fprintln(os.Stderr, entry.Program+":", err)
	os.Exit(1)
}

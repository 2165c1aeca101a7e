// Command camphorrack-agent is the daemon that runs tasks on the target beside it.
package main

import (
	"context"
	"fmt"
	"os"

	"go.uber.org/fx"

	"github.com/camphorrack/camphorrack/internal/agent"
	"github.com/camphorrack/camphorrack/internal/settings"
)

func main() {
	set := settings.New(agent.Program, os.Stdout)
	options := agent.Define(set)
	set.LoadOS()
	app := fx.New(fx.NopLogger, agent.Module(options))
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
	fmt.Fprintln(os.Stderr, agent.Program+":", err)
	os.Exit(1)
}

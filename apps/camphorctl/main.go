// Command camphorctl is the command line client for operators and callers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/fx"

	"github.com/camphorrack/camphorrack/command"
	"github.com/camphorrack/camphorrack/internal/platformlog"
	"github.com/camphorrack/camphorrack/platform/store"
)

func main() {
	var cli *command.CLI
	app := fx.New(fx.NopLogger, fx.Supply(platformlog.Opener(store.Open)), command.Module, fx.Populate(&cli))
	if err := app.Err(); err != nil {
		fmt.Fprintln(os.Stderr, "camphorctl:", err)
		os.Exit(command.ExitFailed)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	env := command.Env{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.LookupEnv}
	code := cli.Run(ctx, env, os.Args[1:])
	stop()
	os.Exit(code)
}

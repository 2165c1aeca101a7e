// Command camphorrack-standin-target is a simulated target (the back end that executes tasks) for
// tests and trials.
package main

import (
	"os"

	"github.com/camphorrack/camphorrack/internal/daemon"
	"github.com/camphorrack/camphorrack/internal/settings"
	"github.com/camphorrack/camphorrack/internal/standin/target"
)

func main() {
	set := settings.New(target.Program, os.Stdout)
	options := target.Define(set)
	set.LoadOrExit()
	daemon.Run(target.Program, target.Module(options))
}

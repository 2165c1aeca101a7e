// Command camphorrack-runner is the daemon that runs tasks on the leased target on the same host.
package main

import (
	"fmt"
	"os"

	"github.com/camphorrack/camphorrack/internal/daemon"
	"github.com/camphorrack/camphorrack/internal/runner"
	"github.com/camphorrack/camphorrack/platform"
)

func main() {
	settings, err := platform.ReadSettings(platform.SettingsPath())
	if err != nil {
		fmt.Fprintln(os.Stderr, runner.Program+":", err)
		os.Exit(1)
	}
	daemon.Run(runner.Program, platform.RunnerModule(settings))
}

// Command camphorrack-dispatcher is the daemon on entry hosts that receives jobs from callers and
// places their tasks on leased targets.
package main

import (
	"fmt"
	"os"

	"github.com/camphorrack/camphorrack/internal/daemon"
	"github.com/camphorrack/camphorrack/internal/dispatcher"
	"github.com/camphorrack/camphorrack/platform"
)

func main() {
	settings, err := platform.ReadSettings(platform.SettingsPath())
	if err != nil {
		fmt.Fprintln(os.Stderr, dispatcher.Program+":", err)
		os.Exit(1)
	}
	daemon.Run(dispatcher.Program, platform.DispatcherModule(settings))
}

// Command camphorrack-agent is the daemon that runs tasks on the target on the same host.
package main

import (
	"os"

	"github.com/camphorrack/camphorrack/internal/agent"
	"github.com/camphorrack/camphorrack/internal/daemon"
	"github.com/camphorrack/camphorrack/internal/settings"
)

func main() {
	set := settings.New(agent.Program, os.Stdout)
	options := agent.Define(set)
	set.LoadOrExit()
	daemon.Run(agent.Program, agent.Module(options))
}

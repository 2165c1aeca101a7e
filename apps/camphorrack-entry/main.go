// Command camphorrack-entry is the daemon that accepts submissions from callers and schedules
// their tasks.
package main

import (
	"os"

	"github.com/camphorrack/camphorrack/internal/daemon"
	"github.com/camphorrack/camphorrack/internal/entry"
	"github.com/camphorrack/camphorrack/internal/settings"
	"github.com/camphorrack/camphorrack/platform/store"
)

func main() {
	set := settings.New(entry.Program, os.Stdout)
	options := entry.Define(set)
	set.LoadOrExit()
	options.OpenLog = store.Open
	daemon.Run(entry.Program, entry.Module(options))
}

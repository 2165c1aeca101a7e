// Command camphorrack-entry is the daemon that callers submit to.
package main

import (
	"os"

	"github.com/camphorrack/camphorrack/internal/daemon"
	"github.com/camphorrack/camphorrack/internal/entry"
	"github.com/camphorrack/camphorrack/internal/settings"
)

func main() {
	set := settings.New(entry.Program, os.Stdout)
	options := entry.Define(set)
	set.LoadOS()
	daemon.Run(entry.Program, entry.Module(options))
}

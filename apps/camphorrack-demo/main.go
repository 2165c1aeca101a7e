// Command camphorrack-demo starts a small fleet on the loopback interface, submits work while
// failures are injected, and checks the answers to callers and the task runs at targets.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/camphorrack/camphorrack/internal/demo"
	"github.com/camphorrack/camphorrack/internal/settings"
)

func main() {
	set := settings.New("camphorrack-demo", os.Stdout)
	bin := set.String("bin", "bin", "directory of the built programs")
	logs := set.String("logs", "", "existing directory for the processes' logs; empty: none are kept")
	duration := set.Duration("duration", 8*time.Second, "how long work is submitted")
	load := set.Float64("load", 0.7, "share of the targets' capacity that is asked for")
	seed := set.Uint64("seed", 1, "seed of the work")
	listen := set.String("listen", "", "address of the first entry; empty: any free port of 127.0.0.1")
	chaos := set.Bool("chaos", false, "disturb entries, agents and targets at random all the time")
	keep := set.Bool("keep", false, "only start the fleet, and leave it running until ^C")
	set.AddCheck("load", func() string {
		if *load <= 0 || *load > 10 {
			return "takes more than 0, up to 10"
		}
		return ""
	})
	set.LoadOrExit()

	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	options := demo.Options{
		BinDir: *bin, LogDir: *logs, Duration: *duration, Load: *load, Seed: *seed, Chaos: *chaos, Listen: *listen, Out: os.Stdout,
	}
	run := demo.Run
	if *keep {
		run = demo.RunIdleFleet
	}
	err := run(ctx, options)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "camphorrack-demo:", err)
		os.Exit(1)
	}
}

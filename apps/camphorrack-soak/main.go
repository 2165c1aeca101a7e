// Command camphorrack-soak runs the soak test with injected faults on this machine, once for each
// seed.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"time"

	"github.com/camphorrack/camphorrack/internal/settings"
	"github.com/camphorrack/camphorrack/internal/soak"
)

const program = "camphorrack-soak"

func main() {
	set := settings.New(program, os.Stdout)
	o := soak.Options{Out: io.Discard}
	set.StringVar(&o.BinDir, "bin", "bin", "directory of camphorrack-dispatcher and camphorrack-runner")
	logs := set.String("logs", "", "directory for the logs of seeds that fail (default: a temporary one)")
	first := set.Uint64("seed", uint64(time.Now().Unix()), "first seed (default: a fresh one)")
	count := set.Uint64("seeds", 1, "how many seeds to play, one after the other")
	set.DurationVar(&o.Duration, "duration", 15*time.Second, "time with faults, a seed")
	set.IntVar(&o.Entries, "entries", soak.DefaultEntries, "entry hosts")
	set.IntVar(&o.Targets, "targets", soak.DefaultTargets, "targets, each with a runner")
	set.IntVar(&o.Callers, "callers", soak.DefaultCallers, "callers")
	groups := set.String("groups", "", "further groups of faults, with commas between them: rebirth, slow, loss, successors, clients")
	set.StringVar(&o.Scenario, "scenario", "", "play one scenario in place of random faults: "+soak.ScenarioNames())
	keep := set.Bool("keep", false, "keep the logs of every seed")
	verbose := set.Bool("faults", false, "print each fault as it begins")
	set.AddCheck("targets", func() string {
		return settings.MessageIf(o.Targets < 1 || o.Targets > 150 || o.Entries < 1 || o.Entries > 80, "takes 1 to 150, with 1 to 80 entries")
	})
	set.LoadOrExit()
	if *groups != "" {
		o.Groups = strings.Split(*groups, ",")
	}
	if *verbose {
		o.Out = os.Stdout
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if !runSeeds(ctx, o, *logs, *keep, *first, *count) {
		os.Exit(1)
	}
}

// runSeeds runs count seeds from first on and reports whether every run was completed without a
// breach. It stops early when ctx is done. It keeps the logs of failed runs, and those of all runs
// if keep is set.
func runSeeds(ctx context.Context, o soak.Options, logs string, keep bool, first, count uint64) bool {
	passed := true
	for seed := first; seed < first+count && ctx.Err() == nil; seed++ {
		dir, err := os.MkdirTemp(logs, fmt.Sprintf("%s-%d-", program, seed))
		if err != nil {
			fmt.Fprintln(os.Stderr, program+":", err)
			return false
		}
		o.Seed, o.Dir = seed, dir
		result, err := soak.Run(ctx, o)
		if err != nil {
			fmt.Fprintln(os.Stderr, program+":", err, "logs:", dir)
			passed = false
			continue
		}
		fmt.Println(result)
		if len(result.Breaches) == 0 && !keep {
			_ = os.RemoveAll(dir) // only the logs of failed seeds are needed
			continue
		}
		passed = passed && len(result.Breaches) == 0
		for _, b := range result.Breaches {
			fmt.Println("  ", b)
		}
		fmt.Println("   logs:", filepath.Clean(dir))
	}
	return passed
}

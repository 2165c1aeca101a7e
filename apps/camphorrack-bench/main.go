// Command camphorrack-bench measures the scheduling policies with real processes on the loopback
// interface.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/camphorrack/camphorrack/internal/bench"
	"github.com/camphorrack/camphorrack/internal/owner"
	"github.com/camphorrack/camphorrack/internal/settings"
)

func main() {
	set := settings.New("camphorrack-bench", os.Stdout)
	o := bench.Options{Out: os.Stdout}
	set.StringVar(&o.BinDir, "bin", "bin", "directory of the built programs")
	set.StringVar(&o.LogDir, "logs", "", "existing directory for the processes' logs; empty: none are kept")
	set.IntVar(&o.Seeds, "seeds", 3, "runs for each scenario and policy")
	set.DurationVar(&o.Duration, "duration", time.Minute, "how long jobs arrive in a run")
	set.Float64Var(&o.TimeScale, "scale", 1, "multiplies every task's time, to get as many jobs in less time")
	set.IntVar(&o.Parallel, "parallel", 1, "runs at a time, each on a fleet of its own")
	set.BoolVar(&o.Wide, "wide", true, "print every figure before the lines")
	scenarios := set.String("scenarios", "all", "scenarios, comma separated; \"short\": the short set; \"all\": "+strings.Join(scenarioNames(), ","))
	policies := set.String("policies", "all", "policies, comma separated; \"all\": random,two-choices,first-come,least-work")
	set.AddCheck("scenarios", func() string { return selectScenarios(&o, *scenarios) })
	set.AddCheck("policies", func() string { return selectPolicies(&o, *policies) })
	set.AddCheck("scale", func() string {
		if o.TimeScale <= 0 || o.TimeScale > 1 {
			return "takes more than 0, up to 1"
		}
		return ""
	})
	set.LoadOrExit()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := bench.Run(ctx, o)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "camphorrack-bench:", err)
		os.Exit(1)
	}
}

// scenarioNames returns the names that -scenarios accepts, without "all" and "short".
func scenarioNames() []string {
	var all []string
	for _, s := range bench.Scenarios() {
		all = append(all, s.Name)
	}
	return all
}

// selectScenarios sets o.Scenarios from a comma-separated list. It returns an error text, or ""
// if the list is valid.
func selectScenarios(o *bench.Options, list string) string {
	selected := strings.Split(list, ",")
	switch list {
	case "all":
		selected = scenarioNames()
	case "short":
		selected = bench.ShortSet
	}
	all := bench.Scenarios()
	for _, name := range selected {
		i := slices.IndexFunc(all, func(s bench.Scenario) bool { return s.Name == name })
		if i < 0 {
			return "no scenario " + name
		}
		o.Scenarios = append(o.Scenarios, all[i])
	}
	return ""
}

// selectPolicies sets o.Policies from a comma-separated list. It returns an error text, or "" if
// the list is valid.
func selectPolicies(o *bench.Options, list string) string {
	if list == "all" {
		o.Policies = []owner.Policy{owner.PolicyRandom, owner.PolicyTwoChoices, owner.PolicyFCFS, owner.PolicyLeastWork}
		return ""
	}
	for _, name := range strings.Split(list, ",") {
		if !slices.Contains(owner.Policies, owner.Policy(name)) {
			return "no policy " + name
		}
		o.Policies = append(o.Policies, owner.Policy(name))
	}
	return ""
}

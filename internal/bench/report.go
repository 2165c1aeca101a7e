package bench

import (
	"fmt"
	"text/tabwriter"
)

// key is what a line of the report stands for.
type key struct{ scenario, policy string }

// printAll merges the seeds of each scenario and policy and prints a line for each.
func printAll(o Options, runs []one, results []*Result) {
	merged := map[key]*Result{}
	var order []key
	for i, r := range runs {
		k := key{r.scenario.Name, string(r.policy)}
		if merged[k] == nil {
			merged[k] = newResult()
			order = append(order, k)
		}
		merged[k].merge(results[i])
	}
	if o.Wide {
		printWide(o, order, merged)
	}
	fmt.Fprintln(o.Out, "scenario policy p50 p99 mean wasted%")
	for _, k := range order {
		r := merged[k]
		fmt.Fprintf(o.Out, "%s %s %.2f %.2f %.2f %.2f\n", k.scenario, k.policy, r.ratio(50), r.ratio(99), r.mean(), 100*r.wasted())
	}
	for _, k := range order {
		printTroubles(o, k, merged[k])
	}
}

func printWide(o Options, order []key, merged map[key]*Result) {
	w := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "scenario\tpolicy\tjobs\tp50\tp99\tmean\twasted%\tmissed%\trefused%\tfailed%\tgoodput%\tunfairness\tentry us/start\tagent us/start\tnetwork ms")
	for _, k := range order {
		r := merged[k]
		starts := float64(max(r.sentMsgs, 1))
		fmt.Fprintf(w, "%s\t%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f\t%.2f\t%.0f\t%.0f\t%.2f\n",
			k.scenario, k.policy, r.jobs, r.ratio(50), r.ratio(99), r.mean(), 100*r.wasted(),
			r.percent(r.missed), r.percent(r.refused), r.percent(r.failed), 100*r.goodput(), r.unfairness(),
			1000*r.entryMs/starts, 1000*r.agentMs/starts, r.networkMs/float64(r.runs))
	}
	_ = w.Flush() // a report that can't be written has no one to tell
	fmt.Fprintln(o.Out)
}

func (r *Result) percent(n int) float64 { return 100 * float64(n) / float64(max(r.jobs, 1)) }

// printTroubles names what should not happen in any scenario.
func printTroubles(o Options, k key, r *Result) {
	if r.mixedUp > 0 {
		fmt.Fprintf(o.Out, "! %s %s: %d complete answers with other results than the job's own\n", k.scenario, k.policy, r.mixedUp)
	}
	if r.unknown > 0 {
		fmt.Fprintf(o.Out, "! %s %s: %d of %d jobs without a final answer\n", k.scenario, k.policy, r.unknown, r.jobs)
	}
	if r.noReturn > 0 {
		fmt.Fprintf(o.Out, "! %s %s: %d refusals without a time to come back\n", k.scenario, k.policy, r.noReturn)
	}
	for _, err := range r.errs {
		fmt.Fprintf(o.Out, "! %s %s: %v\n", k.scenario, k.policy, err)
	}
}

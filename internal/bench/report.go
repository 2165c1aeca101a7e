package bench

import (
	"fmt"
	"text/tabwriter"
)

// reportKey identifies a line of the report.
type reportKey struct{ scenario, policy string }

// printReport merges the results of all seeds for each scenario and policy, and prints a line
// with slowdowns and wasted start messages for each, then the anomalies.
func printReport(o Options, runs []runSpec, results []*Result) {
	merged := map[reportKey]*Result{}
	var order []reportKey
	for i, r := range runs {
		k := reportKey{r.scenario.Name, string(r.policy)}
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
		fmt.Fprintf(o.Out, "%s %s %.2f %.2f %.2f %.2f\n", k.scenario, k.policy, r.slowdown(50), r.slowdown(99), r.meanSlowdown(), 100*r.wastedShare())
	}
	for _, k := range order {
		printAnomalies(o, k, merged[k])
	}
}

// printWide prints a table with all measurements.
func printWide(o Options, order []reportKey, merged map[reportKey]*Result) {
	w := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "scenario\tpolicy\tjobs\tp50\tp99\tmean\twasted%\tmissed%\trefused%\tfailed%\tgoodput%\tunfairness\tentry us/start\tagent us/start\tnetwork ms")
	for _, k := range order {
		r := merged[k]
		starts := float64(max(r.startMsgs, 1))
		fmt.Fprintf(w, "%s\t%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f\t%.2f\t%.0f\t%.0f\t%.2f\n",
			k.scenario, k.policy, r.jobs, r.slowdown(50), r.slowdown(99), r.meanSlowdown(), 100*r.wastedShare(),
			r.percent(r.missedDeadline), r.percent(r.refused), r.percent(r.failed), 100*r.goodput(), r.unfairness(),
			1000*r.entriesCPUMs/starts, 1000*r.agentsCPUMs/starts, r.roundTripMs/float64(r.runs))
	}
	_ = w.Flush() // ignored: there is no other output to report the error to
	fmt.Fprintln(o.Out)
}

// percent returns n as a percentage of the measured jobs.
func (r *Result) percent(n int) float64 { return 100 * float64(n) / float64(max(r.jobs, 1)) }

// printAnomalies prints what must not happen in any scenario, and errors of steps.
func printAnomalies(o Options, k reportKey, r *Result) {
	if r.wrongResults > 0 {
		fmt.Fprintf(o.Out, "! %s %s: %d complete answers with other results than the job's own\n", k.scenario, k.policy, r.wrongResults)
	}
	if r.noAnswer > 0 {
		fmt.Fprintf(o.Out, "! %s %s: %d of %d jobs without a final answer\n", k.scenario, k.policy, r.noAnswer, r.jobs)
	}
	if r.noRetryAfter > 0 {
		fmt.Fprintf(o.Out, "! %s %s: %d refusals without a time to come back\n", k.scenario, k.policy, r.noRetryAfter)
	}
	for _, err := range r.errs {
		fmt.Fprintf(o.Out, "! %s %s: %v\n", k.scenario, k.policy, err)
	}
}

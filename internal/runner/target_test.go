package runner

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/runs"
)

// countingTarget counts the starts.
type countingTarget struct{ starts int }

func (c *countingTarget) Start(runs.StartCall) (runs.Answer, int64) {
	c.starts++
	return runs.Accepted, 1
}
func (c *countingTarget) Stop(runs.StopCall) runs.Answer             { return runs.Accepted }
func (c *countingTarget) Renew(runs.RenewCall) (runs.Listing, error) { return runs.Listing{}, nil }

// Guards against a start that is sent to the next life of a target, by a process that got no processor
// time since it was called, although the end of the last life is known.
func TestStartForAnEndedLifeIsNotSent(t *testing.T) {
	g := NewWithT(t)
	target := &countingTarget{}
	r := &Runner{options: Options{Target: target}, metrics: newCounters(func() int { return 0 })}
	(*targetCalls)(r).Ended(4)
	answer, _ := r.callStart(runs.StartCall{Epoch: 4})
	g.Expect(answer).To(Equal(runs.Accepted))
	(*targetCalls)(r).Ended(5)
	answer, _ = r.callStart(runs.StartCall{Epoch: 4})
	g.Expect(answer).To(Equal(runs.NotDelivered))
	g.Expect(target.starts).To(Equal(1))
}

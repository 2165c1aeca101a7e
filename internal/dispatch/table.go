package dispatch

import (
	"time"

	"github.com/elliotchance/orderedmap/v3"
)

// table holds the jobs that this process knows, by ID. A job is unsettled until it has an
// answer and each of its attempts an outcome. Settled jobs are kept for answerRetention,
// to answer copies of their requests. The settled jobs of ten seconds far outnumber the
// unsettled ones, so periodic work iterates only over unsettled.
type table struct {
	byID       map[string]*liveJob
	unsettled  *orderedmap.OrderedMap[*liveJob, struct{}] // in the order of their arrival
	settled    []*liveJob                                 // in the order in which they settled
	unanswered int                                        // number of jobs without an answer
}

func newTable() table {
	return table{byID: map[string]*liveJob{}, unsettled: orderedmap.NewOrderedMap[*liveJob, struct{}]()}
}

// add adds a job that has no answer yet.
func (t *table) add(l *liveJob) {
	t.byID[l.ID] = l
	t.unsettled.Set(l, struct{}{})
	t.unanswered++
}

// noteAnswer counts a job as answered. It is called once per job.
func (t *table) noteAnswer() { t.unanswered-- }

// settle marks a job as settled. It is kept only for copies of its request from now on.
func (t *table) settle(l *liveJob) {
	t.unsettled.Delete(l)
	if t.byID[l.ID] == l {
		t.settled = append(t.settled, l)
	}
}

// remove removes a job, so that it can be submitted again.
func (t *table) remove(l *liveJob) {
	t.unsettled.Delete(l)
	delete(t.byID, l.ID)
}

// expire drops the settled jobs whose retention has ended.
func (t *table) expire(now time.Time) {
	for len(t.settled) > 0 && now.After(t.settled[0].keepUntil) {
		l := t.settled[0]
		t.settled[0] = nil
		t.settled = t.settled[1:]
		if t.byID[l.ID] == l {
			delete(t.byID, l.ID)
		}
	}
}

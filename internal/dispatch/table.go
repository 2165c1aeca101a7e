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
	bytes      int64                                      // memory of the unsettled jobs; see Job.memoryBytes
}

func newTable() table {
	return table{byID: map[string]*liveJob{}, unsettled: orderedmap.NewOrderedMap[*liveJob, struct{}]()}
}

// add adds a job that has no answer yet.
func (t *table) add(l *liveJob) {
	t.byID[l.ID] = l
	t.unsettled.Set(l, struct{}{})
	t.unanswered++
	l.bytes = l.memoryBytes()
	t.bytes += l.bytes
}

// noteAnswer counts a job as answered. It is called once per job.
func (t *table) noteAnswer() { t.unanswered-- }

// settle marks a job as settled. Only its answer is kept from now on, for copies of its request.
func (t *table) settle(l *liveJob) {
	t.release(l)
	l.tasks, l.lastDone = nil, doneTask{}
	if t.byID[l.ID] == l {
		t.settled = append(t.settled, l)
	}
}

// remove removes a job, so that it can be submitted again.
func (t *table) remove(l *liveJob) {
	t.release(l)
	delete(t.byID, l.ID)
}

// release ends the periodic work for a job, and the accounting for its memory.
func (t *table) release(l *liveJob) {
	if t.unsettled.Delete(l) {
		t.bytes -= l.bytes
	}
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

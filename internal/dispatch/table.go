package dispatch

import "time"

// table holds the jobs that this process knows, by id. A job is unsettled until it has
// its answer and every attempt its outcome; then it is kept for a while, for copies of
// its request. Ten seconds of settled jobs are many times the unsettled ones, so what
// looks at jobs all the time looks at the latter alone.
type table struct {
	byID      map[string]*liveJob
	unsettled map[*liveJob]struct{}
	kept      []*liveJob // settled, in the order in which they settled
	live      int        // without an answer
}

func newTable() table {
	return table{byID: map[string]*liveJob{}, unsettled: map[*liveJob]struct{}{}}
}

// add takes a job that has no answer yet.
func (t *table) add(l *liveJob) {
	t.byID[l.ID] = l
	t.unsettled[l] = struct{}{}
	t.live++
}

// answered notes that a job of the table has its answer.
func (t *table) answered() { t.live-- }

// settle keeps a job from now on only for copies of its request.
func (t *table) settle(l *liveJob) {
	delete(t.unsettled, l)
	if t.byID[l.ID] == l {
		t.kept = append(t.kept, l)
	}
}

// forget makes room for another coming of a settled job.
func (t *table) forget(l *liveJob) {
	delete(t.unsettled, l)
	delete(t.byID, l.ID)
}

// expire drops the settled jobs whose time is over.
func (t *table) expire(now time.Time) {
	for len(t.kept) > 0 && now.After(t.kept[0].keepUntil) {
		l := t.kept[0]
		t.kept[0] = nil
		t.kept = t.kept[1:]
		if t.byID[l.ID] == l {
			delete(t.byID, l.ID)
		}
	}
}

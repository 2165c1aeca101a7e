package crashloop

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var now = time.Unix(1_800_000_000, 0)

func life(name string) Incarnation { return Incarnation{Target: name} }

func task(job string) Task { return Task{Job: job} }

// Guards against a sound task that is given up because the others which were lost with its
// target are not back yet to tell of it.
func TestSilentTargetsExplainACrashToo(t *testing.T) {
	g, l := NewWithT(t), New()
	for _, name := range []string{"b", "c"} {
		l.RecordUnresponsive(now, life(name), []Task{task("other " + name)})
	}
	l.RecordCrash(now.Add(100*time.Millisecond), life("a"), []Task{task("x")})
	l.RecordCrash(now.Add(5*time.Second), life("d"), []Task{task("x")})
	verdict, crashes := l.Classify(now.Add(6*time.Second), task("x"))
	g.Expect(verdict).To(Equal(Clear))
	g.Expect(crashes).To(Equal(2))
	l.RecordCrash(now.Add(8*time.Second), life("e"), []Task{task("x")})
	verdict, _ = l.Classify(now.Add(9*time.Second), task("x"))
	g.Expect(verdict).To(Equal(CrashLoop))
}

// Guards against a job whose tasks take down several targets at once and explain each other.
func TestTasksOfOneJobDoNotExplainEachOther(t *testing.T) {
	g, l := NewWithT(t), New()
	for round := range 2 {
		for i, name := range []string{"a", "b", "c"} {
			at := now.Add(time.Duration(round) * 2 * time.Second)
			l.RecordCrash(at, Incarnation{Target: name, StartedMs: int64(round)}, []Task{{Job: "x", Index: i}})
		}
	}
	verdict, _ := l.Classify(now.Add(3*time.Second), Task{Job: "x", Index: 1})
	g.Expect(verdict).To(Equal(CrashLoop))
}

// Guards against crashes that are remembered for ever, and against a ledger that grows with them.
func TestCrashesAreForgotten(t *testing.T) {
	g, l := NewWithT(t), New()
	for n := range 3 * mostRemembered {
		l.RecordCrash(now, Incarnation{Target: "a", StartedMs: int64(n)}, []Task{task("x")})
	}
	g.Expect(len(l.crashes)).To(BeNumerically("<=", mostRemembered))
	for n := range 200 {
		many := make([]Task, 256)
		for i := range many {
			many[i] = Task{Job: "y", Step: n, Index: i}
		}
		l.RecordCrash(now, Incarnation{Target: "b", StartedMs: int64(n)}, many)
		g.Expect(len(l.byTask)).To(BeNumerically("<=", mostTasks+len(many)))
	}
	l.RecordCrash(now.Add(2*remembered), life("z"), nil)
	g.Expect(l.byTask).To(BeEmpty())
	verdict, _ := l.Classify(now.Add(2*remembered), task("x"))
	g.Expect(verdict).To(Equal(Clear))
}

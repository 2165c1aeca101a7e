package crashloop

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var now = time.Unix(1_800_000_000, 0)

func life(name string) Life { return Life{Target: name} }

func task(job string) Task { return Task{Job: job} }

// Guards against a sound task that is given up because the others which were lost with its
// target are not back yet to tell of it.
func TestSilentTargetsExplainACrashToo(t *testing.T) {
	g, l := NewWithT(t), New()
	for _, name := range []string{"b", "c"} {
		l.Silent(now, life(name), []Task{task("other " + name)})
	}
	l.Crashed(now.Add(100*time.Millisecond), life("a"), []Task{task("x")})
	l.Crashed(now.Add(5*time.Second), life("d"), []Task{task("x")})
	verdict, crashes := l.Judge(now.Add(6*time.Second), task("x"))
	g.Expect(verdict).To(Equal(Clear))
	g.Expect(crashes).To(Equal(2))
	l.Crashed(now.Add(8*time.Second), life("e"), []Task{task("x")})
	verdict, _ = l.Judge(now.Add(9*time.Second), task("x"))
	g.Expect(verdict).To(Equal(CrashLoop))
}

// Guards against a job whose tasks take down several targets at once and explain each other.
func TestTasksOfOneJobDoNotExplainEachOther(t *testing.T) {
	g, l := NewWithT(t), New()
	for round := range 2 {
		for i, name := range []string{"a", "b", "c"} {
			at := now.Add(time.Duration(round) * 2 * time.Second)
			l.Crashed(at, Life{Target: name, BornMs: int64(round)}, []Task{{Job: "x", Index: i}})
		}
	}
	verdict, _ := l.Judge(now.Add(3*time.Second), Task{Job: "x", Index: 1})
	g.Expect(verdict).To(Equal(CrashLoop))
}

// Guards against crashes that are remembered for ever, and against a ledger that grows with them.
func TestCrashesAreForgotten(t *testing.T) {
	g, l := NewWithT(t), New()
	for n := range 3 * mostRemembered {
		l.Crashed(now, Life{Target: "a", BornMs: int64(n)}, []Task{task("x")})
	}
	g.Expect(len(l.crashes)).To(BeNumerically("<=", mostRemembered))
	for n := range 200 {
		many := make([]Task, 256)
		for i := range many {
			many[i] = Task{Job: "y", Step: n, Index: i}
		}
		l.Crashed(now, Life{Target: "b", BornMs: int64(n)}, many)
		g.Expect(len(l.byTask)).To(BeNumerically("<=", mostTasks+len(many)))
	}
	l.Crashed(now.Add(2*remembered), life("z"), nil)
	g.Expect(l.byTask).To(BeEmpty())
	verdict, _ := l.Judge(now.Add(2*remembered), task("x"))
	g.Expect(verdict).To(Equal(Clear))
}

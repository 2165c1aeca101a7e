package crashloop

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var now = time.Unix(1_800_000_000, 0)

func incarnation(name string) Incarnation { return Incarnation{Target: name} }

func task(job string) Task { return Task{Job: job} }

// Guards against a sound task that is classified as a crash loop because the targets that were
// lost together with its own are still unresponsive and not confirmed as crashed.
func TestUnresponsiveTargetsExplainCrash(t *testing.T) {
	g, d := NewWithT(t), New()
	for _, name := range []string{"b", "c"} {
		d.RecordUnresponsive(now, incarnation(name), []Task{task("other " + name)})
	}
	d.RecordCrash(now.Add(100*time.Millisecond), incarnation("a"), []Task{task("x")})
	d.RecordCrash(now.Add(5*time.Second), incarnation("d"), []Task{task("x")})
	verdict, crashes := d.Classify(now.Add(6*time.Second), task("x"))
	g.Expect(verdict).To(Equal(Clear))
	g.Expect(crashes).To(Equal(2))
	d.RecordCrash(now.Add(8*time.Second), incarnation("e"), []Task{task("x")})
	verdict, _ = d.Classify(now.Add(9*time.Second), task("x"))
	g.Expect(verdict).To(Equal(CrashLoop))
}

// Guards against a job whose tasks crash several targets at once, so that the crashes would
// explain each other.
func TestTasksOfOneJobDoNotExplainEachOther(t *testing.T) {
	g, d := NewWithT(t), New()
	for round := range 2 {
		for i, name := range []string{"a", "b", "c"} {
			at := now.Add(time.Duration(round) * 2 * time.Second)
			d.RecordCrash(at, Incarnation{Target: name, StartedMs: int64(round)}, []Task{{Job: "x", Index: i}})
		}
	}
	verdict, _ := d.Classify(now.Add(3*time.Second), Task{Job: "x", Index: 1})
	g.Expect(verdict).To(Equal(CrashLoop))
}

// Guards against a sound task that counts as a crash loop because of targets on which it may never
// have run, and against a task that crashes target after target before its starts are answered.
func TestCrashWithoutProofOfARunIsOnlySuspicious(t *testing.T) {
	g, d := NewWithT(t), New()
	d.RecordCrash(now, incarnation("a"), []Task{task("x")})
	for i, name := range []string{"b", "c"} {
		verdict, crashes := d.Classify(now, task("x"))
		g.Expect(verdict).To(Equal(Clear), "after %d crashes in doubt", i)
		g.Expect(crashes).To(Equal(1))
		d.RecordUnresponsive(now, incarnation(name), []Task{task("x")})
		d.RecordCrash(now, incarnation(name), []Task{task("y")})
	}
	verdict, _ := d.Classify(now, task("x"))
	g.Expect(verdict).To(Equal(Suspected))
	verdict, _ = d.Classify(now, task("y"))
	g.Expect(verdict).To(Equal(CrashLoop))
}

// Guards against crashes that count for ever and against unbounded memory for them.
func TestCrashRecordsExpire(t *testing.T) {
	g, d := NewWithT(t), New()
	for n := range 3 * maxCrashRecords {
		d.RecordCrash(now, Incarnation{Target: "a", StartedMs: int64(n)}, []Task{task("x")})
	}
	g.Expect(len(d.crashes)).To(BeNumerically("<=", maxCrashRecords))
	for n := range 200 {
		many := make([]Task, 256)
		for i := range many {
			many[i] = Task{Job: "y", Step: n, Index: i}
		}
		d.RecordCrash(now, Incarnation{Target: "b", StartedMs: int64(n)}, many)
		g.Expect(len(d.byTask)).To(BeNumerically("<=", maxTaskRecords+len(many)))
	}
	d.RecordCrash(now.Add(2*retention), incarnation("z"), nil)
	g.Expect(d.byTask).To(BeEmpty())
	verdict, _ := d.Classify(now.Add(2*retention), task("x"))
	g.Expect(verdict).To(Equal(Clear))
}

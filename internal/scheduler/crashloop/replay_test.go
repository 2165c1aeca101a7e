package crashloop

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The loads of this file: a fleet in which tasks that crash their targets come among others,
// while targets also crash by themselves. Each rule is played on the same loads.

// rules are the ways of telling a crash loop that were compared.
var rules = map[string]func([]row) bool{
	"stand alone": standAlone,
	"count":       func(rows []row) bool { return len(rows) >= enoughCrashes },
	"share": func(rows []row) bool {
		blame := 0.0
		for _, r := range rows {
			blame += 1 / float64(1+r.others)
		}
		return blame >= 0.5 || len(rows) >= mostCrashes
	},
}

// load is a fleet under some troubles.
type load struct {
	crashers float64       // part of the tasks that crash their target
	massAt   time.Duration // when a part of the targets crashes at once; 0: never
	mass     float64
	flapping int // targets that go down and up
}

var loads = map[string]load{
	"crashers alone":             {crashers: 0.001},
	"crashers in a burst":        {crashers: 0.003},
	"targets lost together":      {massAt: 3 * time.Second, mass: 0.15},
	"flapping targets":           {flapping: 6},
	"lost and flapping":          {massAt: 3 * time.Second, mass: 0.15, flapping: 6},
	"lost, flapping, crashers":   {massAt: 3 * time.Second, mass: 0.15, flapping: 6, crashers: 0.001},
	"lost, flapping, many at it": {massAt: 3 * time.Second, mass: 0.15, flapping: 6, crashers: 0.003},
}

// loss is what a rule costs.
type loss struct {
	innocents int // tasks that were answered as failed without a fault of theirs
	crashes   int // targets that crashers took down
	crashers  int
	most      int // under one crasher
}

const (
	fleetSize  = 58
	taskRoom   = 11
	fleetSteps = 1000
	fleetStep  = 10 * time.Millisecond
	perStep    = 8
	downFor    = 300
	flapEvery  = 140
)

type simTask struct {
	name    Task
	left    int // steps of work
	crashIn int // steps until it crashes its target; 0: it doesn't
}

type simTarget struct {
	upAt  int
	lives int64
	tasks []*simTask
}

// playFleet plays a load with a rule and returns what it cost.
func playFleet(l load, rule func([]row) bool, seed uint64) loss {
	x := rand.New(rand.NewPCG(seed, 9))
	ledger := newLedger(rule)
	targets := make([]*simTarget, fleetSize)
	for i := range targets {
		targets[i] = &simTarget{}
	}
	var cost loss
	var waiting []*simTask
	begin := time.Unix(1_800_000_000, 0)
	crash := func(step, i int) {
		t := targets[i]
		names := make([]Task, len(t.tasks))
		for k, task := range t.tasks {
			names[k] = task.name
		}
		ledger.RecordCrash(begin.Add(time.Duration(step)*fleetStep), Incarnation{fmt.Sprint(i), t.lives}, names)
		waiting = append(waiting, t.tasks...)
		t.tasks, t.upAt, t.lives = nil, step+downFor, t.lives+1
	}
	for step := range fleetSteps {
		now := begin.Add(time.Duration(step) * fleetStep)
		for n := range perStep {
			task := &simTask{name: Task{Job: fmt.Sprint(step, ".", n)}, left: 6 + x.IntN(60)}
			if x.Float64() < l.crashers {
				task.crashIn = 1 + x.IntN(task.left)
				cost.crashers++
			}
			waiting = append(waiting, task)
		}
		if l.massAt > 0 && step == int(l.massAt/fleetStep) {
			for i := range int(l.mass * fleetSize) {
				crash(step, 10+i)
			}
		}
		for i := range l.flapping {
			if step%flapEvery == 10*i && step >= targets[i].upAt {
				crash(step, i)
				targets[i].upAt = step + flapEvery/2
			}
		}
		for i, t := range targets {
			if runStep(t) {
				crash(step, i)
			}
		}
		waiting = place(x, now, step, targets, waiting, ledger, &cost)
	}
	return cost
}

// runStep runs a target's tasks for a step, and reports whether one of them crashes it.
func runStep(t *simTarget) bool {
	kept := t.tasks[:0]
	crashes := false
	for _, task := range t.tasks {
		task.left--
		switch {
		case task.crashIn > 0 && task.left <= 0:
			crashes = true
			kept = append(kept, task)
		case task.left > 0:
			kept = append(kept, task)
		}
	}
	t.tasks = kept
	return crashes
}

// place gives each waiting task a target that is up, unless it is in a crash loop.
func place(x *rand.Rand, now time.Time, step int, targets []*simTarget, waiting []*simTask, ledger *Detector, cost *loss) []*simTask {
	var left []*simTask
	for _, task := range waiting {
		verdict, crashes := ledger.Classify(now, task.name)
		if verdict == CrashLoop {
			if task.crashIn == 0 {
				cost.innocents++
				continue
			}
			cost.crashes += crashes
			cost.most = max(cost.most, crashes)
			continue
		}
		t := targets[x.IntN(len(targets))]
		if step < t.upAt || len(t.tasks) >= taskRoom {
			left = append(left, task)
			continue
		}
		if task.crashIn > 0 {
			task.left = task.crashIn
		} else if task.left <= 0 {
			task.left = 6 + x.IntN(60)
		}
		t.tasks = append(t.tasks, task)
	}
	return left
}

// total plays a load with several seeds.
func total(l load, rule func([]row) bool) loss {
	var sum loss
	for seed := range uint64(5) {
		one := playFleet(l, rule, seed)
		sum.innocents += one.innocents
		sum.crashes += one.crashes
		sum.crashers += one.crashers
		sum.most = max(sum.most, one.most)
	}
	return sum
}

// Guards against sound jobs that are answered as failed because targets crash around them,
// and against crashers that take down more targets than they must.
func TestRulesOnEachLoad(t *testing.T) {
	for name, l := range loads {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			sums := map[string]loss{}
			for rule, isLoop := range rules {
				sums[rule] = total(l, isLoop)
				t.Logf("%s: %+v", rule, sums[rule])
			}
			kept := sums["stand alone"]
			g.Expect(kept.most).To(BeNumerically("<=", mostCrashes))
			g.Expect(kept.innocents).To(BeNumerically("<=", sums["count"].innocents))
		})
	}
}

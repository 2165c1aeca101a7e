package crashloop

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The simulation in this file: a fleet with tasks that crash their targets among sound ones, where
// targets also crash for other reasons. Each rule runs on the same scenarios.

// rules are alternative rules for detecting a crash loop.
var rules = map[string]func([]evidence) bool{
	"unexplained crashes": hasUnexplainedCrashes,
	"count":               func(crashes []evidence) bool { return len(crashes) >= minUnexplainedCrashes },
	"share": func(crashes []evidence) bool {
		suspicion := 0.0
		for _, e := range crashes {
			suspicion += 1 / float64(1+e.otherTasks)
		}
		return suspicion >= 0.5 || len(crashes) >= maxCrashes
	},
}

// scenario is a set of faults in the fleet.
type scenario struct {
	crasherShare float64       // share of the tasks that crash their target
	massAt       time.Duration // when massShare of the targets crash at once; 0: never
	massShare    float64
	flapping     int // number of targets that crash and restart repeatedly
}

var scenarios = map[string]scenario{
	"crashers alone":                {crasherShare: 0.001},
	"crashers in a burst":           {crasherShare: 0.003},
	"targets lost together":         {massAt: 3 * time.Second, massShare: 0.15},
	"flapping targets":              {flapping: 6},
	"lost and flapping":             {massAt: 3 * time.Second, massShare: 0.15, flapping: 6},
	"lost, flapping, crashers":      {massAt: 3 * time.Second, massShare: 0.15, flapping: 6, crasherShare: 0.001},
	"lost, flapping, many crashers": {massAt: 3 * time.Second, massShare: 0.15, flapping: 6, crasherShare: 0.003},
}

// cost is the damage done under a rule.
type cost struct {
	falsePositives int // sound tasks that were answered as failed
	crashes        int // crashes caused by crashers
	crashers       int // tasks that crash their target
	maxPerCrasher  int // most crashes counted for one crasher
}

const (
	fleetSize         = 58
	maxTasksPerTarget = 11
	fleetSteps        = 1000
	fleetStep         = 10 * time.Millisecond
	arrivalsPerStep   = 8
	downSteps         = 300
	flapInterval      = 140
)

type simTask struct {
	name           Task
	remainingSteps int
	stepsToCrash   int // from its start until it crashes its target; 0: never
}

type simTarget struct {
	upAtStep    int
	incarnation int64
	tasks       []*simTask
}

// simulate runs a scenario with a rule.
func simulate(s scenario, rule func([]evidence) bool, seed uint64) cost {
	x := rand.New(rand.NewPCG(seed, 9))
	detector := newDetector(rule)
	targets := make([]*simTarget, fleetSize)
	for i := range targets {
		targets[i] = &simTarget{}
	}
	var result cost
	var waiting []*simTask
	begin := time.Unix(1_800_000_000, 0)
	crash := func(step, i int) {
		t := targets[i]
		names := make([]Task, len(t.tasks))
		for k, task := range t.tasks {
			names[k] = task.name
		}
		detector.RecordCrash(begin.Add(time.Duration(step)*fleetStep), Incarnation{fmt.Sprint(i), t.incarnation}, names)
		waiting = append(waiting, t.tasks...)
		t.tasks, t.upAtStep, t.incarnation = nil, step+downSteps, t.incarnation+1
	}
	for step := range fleetSteps {
		now := begin.Add(time.Duration(step) * fleetStep)
		for n := range arrivalsPerStep {
			task := &simTask{name: Task{Job: fmt.Sprint(step, ".", n)}, remainingSteps: 6 + x.IntN(60)}
			if x.Float64() < s.crasherShare {
				task.stepsToCrash = 1 + x.IntN(task.remainingSteps)
				result.crashers++
			}
			waiting = append(waiting, task)
		}
		if s.massAt > 0 && step == int(s.massAt/fleetStep) {
			for i := range int(s.massShare * fleetSize) {
				crash(step, 10+i)
			}
		}
		for i := range s.flapping {
			if step%flapInterval == 10*i && step >= targets[i].upAtStep {
				crash(step, i)
				targets[i].upAtStep = step + flapInterval/2
			}
		}
		for i, t := range targets {
			if runStep(t) {
				crash(step, i)
			}
		}
		waiting = place(x, now, step, targets, waiting, detector, &result)
	}
	return result
}

// runStep runs a target's tasks for one step and reports whether one of them crashes it.
func runStep(t *simTarget) bool {
	kept := t.tasks[:0]
	crashes := false
	for _, task := range t.tasks {
		task.remainingSteps--
		switch {
		case task.stepsToCrash > 0 && task.remainingSteps <= 0:
			crashes = true
			kept = append(kept, task)
		case task.remainingSteps > 0:
			kept = append(kept, task)
		}
	}
	t.tasks = kept
	return crashes
}

// place tries a random target for each waiting task that is not in a crash loop. It returns the
// tasks whose target is down or full.
func place(x *rand.Rand, now time.Time, step int, targets []*simTarget, waiting []*simTask, detector *Detector, total *cost) []*simTask {
	var left []*simTask
	for _, task := range waiting {
		verdict, crashes := detector.Classify(now, task.name)
		if verdict == CrashLoop {
			if task.stepsToCrash == 0 {
				total.falsePositives++
				continue
			}
			total.crashes += crashes
			total.maxPerCrasher = max(total.maxPerCrasher, crashes)
			continue
		}
		t := targets[x.IntN(len(targets))]
		if step < t.upAtStep || len(t.tasks) >= maxTasksPerTarget {
			left = append(left, task)
			continue
		}
		if task.stepsToCrash > 0 {
			task.remainingSteps = task.stepsToCrash
		} else if task.remainingSteps <= 0 {
			task.remainingSteps = 6 + x.IntN(60)
		}
		t.tasks = append(t.tasks, task)
	}
	return left
}

// simulateSeeds returns the sum over five seeds; maxPerCrasher is the maximum.
func simulateSeeds(s scenario, rule func([]evidence) bool) cost {
	var sum cost
	for seed := range uint64(5) {
		one := simulate(s, rule, seed)
		sum.falsePositives += one.falsePositives
		sum.crashes += one.crashes
		sum.crashers += one.crashers
		sum.maxPerCrasher = max(sum.maxPerCrasher, one.maxPerCrasher)
	}
	return sum
}

// Guards against sound jobs that are answered as failed because their targets crash for other
// reasons, and against tasks that crash more targets than needed to detect them.
func TestRulesInEachScenario(t *testing.T) {
	for name, s := range scenarios {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			sums := map[string]cost{}
			for rule, isLoop := range rules {
				sums[rule] = simulateSeeds(s, isLoop)
				t.Logf("%s: %+v", rule, sums[rule])
			}
			used := sums["unexplained crashes"]
			g.Expect(used.maxPerCrasher).To(BeNumerically("<=", maxCrashes))
			g.Expect(used.falsePositives).To(BeNumerically("<=", sums["count"].falsePositives))
		})
	}
}

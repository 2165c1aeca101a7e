package soak

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/camphorrack/camphorrack/platform/standin"
)

const (
	// Bounds of the share of answers that targets lose, and the longest downtime of runners that are
	// killed together.
	minLostAnswers, maxLostAnswers = 0.2, 0.45
	maxRunnerDowntime              = 800 * time.Millisecond
)

// killDataCentre kills the runners of a data centre at the same moment and starts them again, over
// and over until duration has passed.
func killDataCentre(r *run, rnd *rand.Rand, duration time.Duration) func() {
	dataCentre := r.fleet.DataCentre(rnd.IntN(dataCentres))
	var runners []*lockableProcess
	for i, p := range runnerProcesses(r) {
		if r.fleet.TargetDataCentre(i) == dataCentre && p.mu.TryLock() {
			runners = append(runners, p)
		}
	}
	for until := time.Now().Add(duration); ; {
		forEach(runners, func(p *lockableProcess) { r.checkStillRunning(p); p.Kill() })
		time.Sleep(between(rnd, 0, maxRunnerDowntime))
		forEach(runners, r.startProcess)
		if time.Now().After(until) {
			break
		}
		time.Sleep(between(rnd, minFaultGap, 2*maxFaultGap))
	}
	for _, p := range runners {
		p.mu.Unlock()
	}
	return nil
}

// forEach calls a function for all processes at the same time and waits until all calls are done.
func forEach(processes []*lockableProcess, call func(*lockableProcess)) {
	var wg sync.WaitGroup
	for _, p := range processes {
		wg.Go(func() { call(p) })
	}
	wg.Wait()
}

// loseAnswers makes half of the targets lose many answers, one time in two also stops.
func loseAnswers(r *run, rnd *rand.Rand, _ time.Duration) func() {
	var affected []*standin.Target
	for _, t := range r.fleet.Targets {
		if rnd.IntN(2) == 0 {
			continue
		}
		f := standin.TargetFaults{LostAnswerShare: minLostAnswers + rnd.Float64()*(maxLostAnswers-minLostAnswers)}
		if rnd.IntN(2) == 0 {
			f.LostStopShare = f.LostAnswerShare
		}
		t.SetFaults(f)
		affected = append(affected, t)
	}
	return func() {
		for _, t := range affected {
			t.SetFaults(standin.TargetFaults{})
		}
	}
}

// silenceTarget drops the data of the open connections of a runner to its target.
func silenceTarget(r *run, rnd *rand.Rand, _ time.Duration) func() {
	pick(rnd, r.fleet.TargetPaths).BlackholeOpen(true, true)
	return nil
}

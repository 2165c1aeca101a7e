//go:build review

package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// restartDelay is how long after its end a process is started again.
	restartDelay = 500 * time.Millisecond
	// faultExits is how often the processes of a machine may not end by themselves, and faultMachines the
	// number of such machines that make a fault: a tenth of the machines in use, two at least.
	faultExits, faultMachines = 3, 2
	// playTime bounds the case.
	playTime = 60 * time.Second
	// One job in longShare takes longMs instead of usualMs, in spells of longSpell with pauses as long, and
	// one in bareShare comes without an estimate.
	longShare, bareShare = 20, 20
	usualMs, longMs      = 100, 450
	longSpell            = 3 * time.Second
	jobInterval          = 25 * time.Millisecond
)

// supervise starts the processes again that end by themselves, until stop is closed, and counts their ends.
func (f *fleet) supervise(stop chan struct{}, exits map[string]*atomic.Int64, wg *sync.WaitGroup) {
	for _, p := range append(append([]*process(nil), f.dispatchers...), f.runners...) {
		count := exits[p.name]
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-p.done:
				}
				count.Add(1)
				f.record.add("process %s ended by itself: %s; %s", p.name, p.cmd.ProcessState, p.lastPanic())
				time.Sleep(restartDelay)
				if err := p.start(); err != nil {
					f.record.add("process %s does not start: %v", p.name, err)
					return
				}
			}
		})
	}
}

// lastPanic returns the last line of the log that tells of a panic.
func (p *process) lastPanic() string {
	text, _ := os.ReadFile(p.log)
	i := strings.LastIndex(string(text), "panic: ")
	if i < 0 {
		return "no panic in its log"
	}
	return strings.SplitN(string(text[i:]), "\n", 2)[0]
}

// missingEstimates plays the usual traffic of one queue. Now and then a job comes whose steps have no
// estimateMs. In spells some other jobs take several times their estimate, unless trouble is false.
func missingEstimates(r *recorder, bin string, trouble bool) ([]string, error) {
	f, err := newFleet(r, smallBounds, bin, 2, 2)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return nil, err
	}
	if err := f.awaitReady(15 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	c := newCaller(f)
	if err := c.warmUp(3, 8, 900, 60); err != nil {
		return nil, err
	}
	exits := map[string]*atomic.Int64{}
	for _, p := range append(append([]*process(nil), f.dispatchers...), f.runners...) {
		exits[p.name] = &atomic.Int64{}
	}
	machines := func() (n int) {
		for _, count := range exits {
			if count.Load() >= faultExits {
				n++
			}
		}
		return n
	}
	stop := make(chan struct{})
	var supervisors, callers sync.WaitGroup
	f.supervise(stop, exits, &supervisors)
	began := time.Now()
	end := began.Add(playTime)
	for n := 0; time.Now().Before(end) && machines() < faultMachines; n++ {
		work, estimate := usualMs, usualMs
		switch {
		case n%longShare == longShare-1 && time.Since(began)/longSpell%2 == 0 && trouble:
			work = longMs
		case n%bareShare == bareShare/2:
			estimate = 0
		}
		callers.Go(func() { c.submit(n%len(f.dispatchers), newID(), jobBody(4, 900, work, estimate), 3*time.Second, 2) })
		time.Sleep(jobInterval)
	}
	callers.Wait()
	close(stop)
	supervisors.Wait()
	var lines []string
	for _, p := range append(append([]*process(nil), f.dispatchers...), f.runners...) {
		r.add("process %s ended by itself %d times", p.name, exits[p.name].Load())
	}
	if n := machines(); n >= faultMachines {
		lines = append(lines, fmt.Sprintf("Fault: on %d machines of %d processes ended by themselves %d times or more", n, len(exits), faultExits))
	}
	return lines, nil
}

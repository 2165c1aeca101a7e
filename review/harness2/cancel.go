package main

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/camphorrack/camphorrack/platform/standin"
)

func init() {
	cases["cancel-copy"] = cancelledJobCopied
	cases["cancel-elsewhere"] = cancelElsewhere
}

// Times of the jobs of these cases, in milliseconds. The longest task of the small sites takes 3.6 s, on a
// target of speed 0.55 6.5 s.
const (
	longTaskMs = 4500
	deadline   = 15 * time.Second
)

// chainBody returns a job of two steps with one task each, the second after the first.
func chainBody(runMs int) string {
	step := func(after ...int) map[string]any {
		s := map[string]any{"count": 1, "cpu": 500, "memMb": 10, "estimateMs": runMs}
		if len(after) > 0 {
			s["after"] = after
		}
		return s
	}
	body, err := json.Marshal(map[string]any{"spec": standin.Spec(standin.Work, runMs, 500), "bestEffort": true, "pipeline": []any{step(), step(0)}})
	if err != nil {
		panic(err) // can't fail: the value has only strings, numbers and lists of them
	}
	return string(body)
}

// awaitRunning waits until a task of a job runs.
func (p *play) awaitRunning(job string) error {
	for limit := time.Now().Add(3 * time.Second); len(p.fleet.Checker.RunningOn(job)) == 0; p.sleep(5 * time.Millisecond) {
		if time.Now().After(limit) || p.ctx.Err() != nil {
			return fmt.Errorf("job %s does not start", job)
		}
	}
	return nil
}

// cancelledJobCopied cancels jobs that run. With the disruption, a copy of the request that submitted each
// arrives seconds after the 2xx response for its ID, at the same dispatcher or another one.
func cancelledJobCopied(p *play) ([]string, error) {
	if err := p.startFleet(standin.FleetOptions{Entries: 2, Targets: 4, Seed: 1}); err != nil {
		return nil, err
	}
	const jobs = 6
	var violations []string
	for n := range jobs {
		id := fmt.Sprintf("%016x", 0xa100000000000000+uint64(n))
		body := standin.JobBody(standin.Work, 2, 1500)
		var wg sync.WaitGroup
		wg.Go(func() {
			p.note("client: POST %s at dispatcher 0", id)
			r := p.fleet.Call(p.ctx, "POST", p.fleet.URL(0, "/q0/"+id), body, deadline)
			p.note("client: POST %s answered %s", id, replyLine(r))
		})
		if err := p.awaitRunning(id); err != nil {
			return nil, err
		}
		p.sleep(200 * time.Millisecond)
		r := p.fleet.Call(p.ctx, "DELETE", p.fleet.URL(0, "/q0/"+id), "", 2*time.Second)
		cancelledAt := time.Now()
		p.note("client: DELETE %s answered %s", id, replyLine(r))
		if r.Status != 200 {
			return nil, fmt.Errorf("DELETE was answered %s", replyLine(r))
		}
		wg.Wait()
		p.sleep(time.Until(cancelledAt.Add(cancelBound + 500*time.Millisecond)))
		before := p.fleet.Checker.StartCount(id)
		if p.trouble {
			at := n % 2
			p.note("network: a copy of POST %s arrives at dispatcher %d, %s after the 200 response to DELETE", id, at, time.Since(cancelledAt).Round(time.Millisecond))
			c := p.fleet.Call(p.ctx, "POST", p.fleet.URL(at, "/q0/"+id), body, 3*time.Second)
			p.note("network: the copy of POST %s is answered %s", id, replyLine(c))
		} else {
			p.sleep(500 * time.Millisecond)
		}
		if started := p.fleet.Checker.StartCount(id) - before; started > 0 {
			violations = append(violations, fmt.Sprintf("%d tasks of job %s started later than cancel_ms after its cancelling was acknowledged with 200", started, id))
		}
		p.history(id)
	}
	return violations, nil
}

// cancelElsewhere submits jobs of two steps and cancels them on new connections. With the disruption, a
// dispatcher was added meanwhile, which gets the new connections of some clients.
func cancelElsewhere(p *play) ([]string, error) {
	if err := p.startFleet(standin.FleetOptions{Entries: 2, Targets: 4, Seed: 2}); err != nil {
		return nil, err
	}
	// The second dispatcher's host is a spare one, which is added later.
	p.fleet.Entries[1].Kill()
	p.sleep(2 * time.Second)
	rotation := []int{0}
	const jobs = 8
	ids := make([]string, jobs)
	var wg sync.WaitGroup
	postCtx, stopPosts := context.WithCancel(p.ctx)
	defer wg.Wait()
	defer stopPosts()
	if p.trouble {
		// The host is added; jobs are handed in while the first dispatcher is still the only one in rotation.
		if err := p.fleet.Entries[1].Start(); err != nil {
			return nil, err
		}
		p.note("platform: dispatcher 1 is added")
	}
	for n := range jobs {
		ids[n] = fmt.Sprintf("%016x", 0xa200000000000000+uint64(n))
		wg.Go(func() {
			p.note("client %d: POST %s at dispatcher %d", n, ids[n], rotation[0])
			r := p.fleet.Call(postCtx, "POST", p.fleet.URL(0, "/q0/"+ids[n]), chainBody(longTaskMs), deadline)
			p.note("client %d: POST %s answered %s", n, ids[n], replyLine(r))
		})
	}
	for _, id := range ids {
		if err := p.awaitRunning(id); err != nil {
			return nil, err
		}
	}
	if p.trouble {
		if err := p.waitReady(1); err != nil {
			return nil, err
		}
		rotation = append(rotation, 1)
		p.note("platform: dispatcher 1 is ready and in rotation")
	}
	cancelledAt := make([]time.Time, jobs)
	for n, id := range ids {
		at := rotation[n%len(rotation)] // by a hash of the client
		r := p.fleet.Call(p.ctx, "DELETE", p.fleet.URL(at, "/q0/"+id), "", 2*time.Second)
		cancelledAt[n] = time.Now()
		p.note("client %d: DELETE %s at dispatcher %d answered %s", n, id, at, replyLine(r))
		if r.Status != 200 && r.Status != 410 {
			return nil, fmt.Errorf("DELETE was answered %s", replyLine(r))
		}
	}
	p.sleep(time.Until(cancelledAt[jobs-1].Add(cancelBound + stopBound + 50*time.Millisecond)))
	var violations []string
	before := make([]int, jobs)
	for n, id := range ids {
		before[n] = p.fleet.Checker.StartCount(id)
		if running := p.fleet.Checker.RunningOn(id); len(running) > 0 {
			p.note("target %s still runs a task of %s", running[0], id)
		}
	}
	p.sleep(2500 * time.Millisecond)
	for n, id := range ids {
		if started := p.fleet.Checker.StartCount(id) - before[n]; started > 0 {
			violations = append(violations, fmt.Sprintf("%d tasks of job %s started later than cancel_ms after its cancelling was acknowledged", started, id))
		}
		p.history(id)
	}
	return violations, nil
}

package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/camphorrack/camphorrack/platform/standin"
)

func init() { cases["cancel-waiting"] = cancelWaitingCopy }

// client is one caller of cancelWaitingCopy.
type client struct {
	id          string
	cancelledAt time.Time // when its DELETE was answered; zero: it has sent none
	startsThen  int       // starts of its job up to cancel_ms after that
}

// cancelWaitingCopy hands in jobs. A client whose job's outcome is unknown sends it again after resendMs, and
// cancels it if that isn't answered soon. With the disruption, a target is silent for 4.8 s and then back as
// another incarnation.
func cancelWaitingCopy(p *play) ([]string, error) {
	const (
		targets  = 7
		rounds   = 7
		interval = 40 * time.Millisecond
		dark     = 4800 * time.Millisecond
	)
	if err := p.startFleet(standin.FleetOptions{Entries: 1, Targets: targets, Relays: true, Seed: 4}); err != nil {
		return nil, err
	}
	p.sleep(time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var clients []*client
	done := make(chan struct{})
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(interval):
			}
			c := &client{id: fmt.Sprintf("%016x", 0xa400000000000000+uint64(n))}
			mu.Lock()
			clients = append(clients, c)
			mu.Unlock()
			wg.Go(func() { p.runClient(c) })
		}
	})
	for round := range rounds {
		p.sleep(time.Second)
		if !p.trouble {
			p.sleep(dark + 2*time.Second)
			continue
		}
		silent := round % targets
		p.note("target %d is silent", silent)
		path := p.fleet.TargetPaths[silent]
		path.SetBlackholeNew(true)
		path.BlackholeOpen(true, true)
		p.fleet.Targets[silent].Stop()
		p.sleep(dark)
		path.SetBlackholeNew(false)
		p.note("target %d starts again", silent)
		if err := p.fleet.Targets[silent].Start(); err != nil {
			close(done)
			wg.Wait()
			return nil, err
		}
		p.sleep(2 * time.Second)
	}
	close(done)
	wg.Wait()
	var violations []string
	for _, c := range clients {
		if c.cancelledAt.IsZero() {
			continue
		}
		p.history(c.id)
		if started := p.fleet.Checker.StartCount(c.id) - c.startsThen; started > 0 {
			violations = append(violations, fmt.Sprintf("%d tasks of job %s started later than cancel_ms after its cancelling was acknowledged", started, c.id))
		}
	}
	p.note("%d jobs, of which those listed were cancelled", len(clients))
	return violations, nil
}

// runClient hands in a job of eight tasks.
func (p *play) runClient(c *client) {
	const patience = 100 * time.Millisecond
	body := standin.JobBody(standin.Work, 8, 60)
	url := p.fleet.URL(0, "/q0/"+c.id)
	p.note("client: POST %s", c.id)
	r := p.fleet.Call(p.ctx, "POST", url, body, deadline)
	p.note("client: POST %s answered %s", c.id, replyLine(r))
	if r.Status != 504 {
		return
	}
	p.sleep(resendDelay)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		p.note("client: POST %s, again", c.id)
		r := p.fleet.Call(p.ctx, "POST", url, body, deadline)
		p.note("client: POST %s, again, answered %s", c.id, replyLine(r))
	}()
	select {
	case <-answered:
		return
	case <-time.After(patience):
	}
	r = p.fleet.Call(p.ctx, "DELETE", url, "", 2*time.Second)
	p.note("client: DELETE %s answered %s", c.id, replyLine(r))
	if r.Status != 200 && r.Status != 410 {
		return
	}
	c.cancelledAt = time.Now()
	p.sleep(cancelBound)
	c.startsThen = p.fleet.Checker.StartCount(c.id)
	<-answered
	p.sleep(time.Second)
}

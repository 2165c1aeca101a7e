package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/camphorrack/camphorrack/platform/standin"
)

func init() { cases["reborn"] = rebornWithCallsUnderWay }

const (
	heartbeat = 1500 * time.Millisecond // heartbeatMs
	// lateShare is the share of calls to start a task that a slow path delays, by minTransit to maxTransit.
	lateShare  = 0.5
	minTransit = 100 * time.Millisecond
	maxTransit = 1000 * time.Millisecond
)

// slowPath is a proxy between a runner and its target. While it is slow, it delays a share of the calls that
// start a task, and passes them on although the runner has given them up meanwhile.
type slowPath struct {
	addr, target string
	server       *http.Server
	client       *http.Client
	slow         atomic.Bool
}

func newSlowPath(addr, target string) *slowPath {
	return &slowPath{addr: addr, target: target, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

func (s *slowPath) listen() error {
	listener, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }() // returns when close is called
	return nil
}

// close closes the address and all connections, as the end of the target's process does. Calls that are on
// their way stay on it.
func (s *slowPath) close() { _ = s.server.Close() }

func (s *slowPath) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/run-start" && s.slow.Load() && rand.Float64() < lateShare {
		header, path := r.Header.Clone(), r.URL.Path
		time.AfterFunc(minTransit+rand.N(maxTransit-minTransit), func() {
			if response, err := s.pass(path, header, body); err == nil {
				_ = response.Body.Close() // nobody waits for it
			}
		})
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	response, err := s.pass(r.URL.Path, r.Header, body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = response.Body.Close() }() // read to its end
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", response.Header.Get("Content-Type"))
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(answer) // the runner may have left
}

func (s *slowPath) pass(path string, header http.Header, body []byte) (*http.Response, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+s.target+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header = header
	return s.client.Do(request)
}

// rebearing is a target behind a slowPath.
type rebearing struct {
	target *standin.Target
	path   *slowPath
}

// newRebearing puts a target behind a slowPath at the address of the fleet's target of a host.
func (p *play) newRebearing(host int) (*rebearing, error) {
	m, err := p.newMinion(host)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", strings.Split(m.addr, ":")[0]+":0")
	if err != nil {
		return nil, err
	}
	hidden := listener.Addr().String()
	_ = listener.Close() // it only served to find a free port
	r := &rebearing{path: newSlowPath(m.addr, hidden)}
	r.target = standin.NewTarget(standin.TargetOptions{
		Name: fmt.Sprintf("m%d", host), Service: standin.Service, Addr: hidden, PublicAddr: m.addr, AnnounceAddr: m.ctrl, DataCentre: p.fleet.DataCentre(0),
		CPUMilli: standin.DefaultCPUMilli, AnnounceInterval: heartbeat, Checker: p.fleet.Checker, Seed: uint64(host),
	})
	for range 40 {
		if err = r.path.listen(); err == nil {
			break
		}
		time.Sleep(5 * time.Millisecond) // the port is still in use
	}
	if err != nil {
		return nil, err
	}
	return r, r.target.Start()
}

// restart ends the target's process as a crash does, and starts it again under its id. Its first heartbeat
// follows within heartbeatMs.
func (r *rebearing) restart(down time.Duration) error {
	r.path.close()
	if err := r.target.Rebirth(down, rand.N(heartbeat), false); err != nil {
		return err
	}
	return r.path.listen()
}

// rebornWithCallsUnderWay hands in jobs. With the disruption, one target after the other crashes and starts
// again under its id, while half of the calls to start tasks on it are on their way for up to 1 s.
func rebornWithCallsUnderWay(p *play) ([]string, error) {
	const (
		targets  = 7
		rounds   = 32
		interval = 55 * time.Millisecond
		down     = 250 * time.Millisecond
	)
	if err := p.startFleet(standin.FleetOptions{Entries: 1, Targets: targets, Seed: 5}); err != nil {
		return nil, err
	}
	all := make([]*rebearing, targets)
	for i := range all {
		r, err := p.newRebearing(i)
		if err != nil {
			return nil, err
		}
		all[i] = r
		defer func() { r.path.close(); r.target.End(false) }()
	}
	p.sleep(2 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var jobs []string
	answers := map[int]int{}
	done := make(chan struct{})
	wg.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			id := fmt.Sprintf("%016x", 0xa500000000000000+uint64(n))
			jobs = append(jobs, id)
			wg.Go(func() {
				p.note("client: POST %s", id)
				r := p.fleet.Call(p.ctx, "POST", p.fleet.URL(0, "/q0/"+id), standin.JobBody(standin.Work, 4, 900), 1500*time.Millisecond)
				p.note("client: POST %s answered %s", id, replyLine(r))
				mu.Lock()
				defer mu.Unlock()
				answers[r.Status]++
			})
		}
	})
	var failure error
	for round := range rounds {
		p.sleep(400 * time.Millisecond)
		if !p.trouble {
			p.sleep(2150 * time.Millisecond)
			continue
		}
		r := all[round%targets]
		r.path.slow.Store(true)
		p.sleep(900 * time.Millisecond)
		p.note("target m%d crashes", round%targets)
		if failure = r.restart(down); failure != nil {
			break
		}
		p.note("target m%d is back under its id", round%targets)
		p.sleep(time.Second)
		r.path.slow.Store(false)
	}
	close(done)
	wg.Wait()
	if failure != nil {
		return nil, failure
	}
	p.note("answers by status: %v", answers)
	for _, id := range jobs {
		p.history(id)
	}
	var violations []string
	for _, b := range p.fleet.Checker.Breaches() {
		if b.Invariant == "twice_at_once" {
			violations = append(violations, "two runs of a task at the same time: "+b.String())
		}
	}
	return violations, nil
}

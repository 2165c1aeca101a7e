package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/camphorrack/camphorrack/platform/standin"
)

func init() { cases["other-kind"] = otherKind }

// minion is a target of this case at the address of one of the fleet's targets.
type minion struct {
	p          *play
	host       int
	lives      int
	addr, ctrl string
	target     *standin.Target
}

var (
	appLine     = regexp.MustCompile(`(?m)^app: "([^"]+)"`)
	controlLine = regexp.MustCompile(`(?m)^  control: "([^"]+)"`)
)

// newMinion ends the fleet's target of a host, so that one with labels can take its address.
func (p *play) newMinion(host int) (*minion, error) {
	text, err := os.ReadFile(filepath.Join(p.dir, fmt.Sprintf("runner-%d.yaml", host)))
	if err != nil {
		return nil, err
	}
	app, control := appLine.FindSubmatch(text), controlLine.FindSubmatch(text)
	if app == nil || control == nil {
		return nil, fmt.Errorf("the settings of runner %d have no addresses", host)
	}
	p.fleet.Targets[host].End(false)
	return &minion{p: p, host: host, addr: string(app[1]), ctrl: string(control[1])}, nil
}

// crash ends the present incarnation, and its runs with it.
func (m *minion) crash() {
	m.target.End(false)
	m.p.note("target: the one at host %d crashes", m.host)
}

// begin starts a new incarnation of a kind, under another id.
func (m *minion) begin(kind string) error {
	m.lives++
	name := fmt.Sprintf("m%d-%d-%s", m.host, m.lives, kind)
	m.p.note("target: %s starts at host %d, with the label %s", name, m.host, kind)
	m.target = standin.NewTarget(standin.TargetOptions{
		Name: name, Service: standin.Service, Addr: m.addr, PublicAddr: m.addr, AnnounceAddr: m.ctrl, DataCentre: m.p.fleet.DataCentre(0),
		CPUMilli: standin.DefaultCPUMilli, Labels: []string{kind, "r1-1"}, AnnounceInterval: 300 * time.Millisecond, Checker: m.p.fleet.Checker, Seed: uint64(m.lives),
	})
	var err error
	for range 40 {
		if err = m.target.Start(); err == nil {
			return nil
		}
		time.Sleep(5 * time.Millisecond) // the port is still in use
	}
	return err
}

// labelBody returns a job of one task that needs a label.
func labelBody(runMs int, label string) string {
	return fmt.Sprintf(`{"spec":%q,"bestEffort":true,"pipeline":[{"count":1,"cpu":500,"memMb":10,"estimateMs":%d,"requiredLabel":%q}]}`,
		standin.Spec(standin.Work, runMs, 500), runMs, label)
}

// otherKind sends jobs that need the label a. With the disruption, a dispatcher freezes for half a second,
// and meanwhile a target crashes and starts again as one of kind b, under another id at the same address.
func otherKind(p *play) ([]string, error) {
	const (
		targets  = 7
		rounds   = 6
		interval = 12 * time.Millisecond
		frozen   = 450 * time.Millisecond
		down     = 150 * time.Millisecond
	)
	if err := p.startFleet(standin.FleetOptions{Entries: 1, Targets: targets, Seed: 3}); err != nil {
		return nil, err
	}
	minions := make([]*minion, targets)
	for i := range minions {
		m, err := p.newMinion(i)
		if err != nil {
			return nil, err
		}
		if err := m.begin("a"); err != nil {
			return nil, err
		}
		minions[i] = m
		defer func() { m.target.End(false) }()
	}
	p.sleep(2 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var jobs []string
	answers := map[int]int{}
	done := make(chan struct{})
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(interval):
			}
			id := fmt.Sprintf("%016x", 0xa300000000000000+uint64(n))
			mu.Lock()
			jobs = append(jobs, id)
			mu.Unlock()
			wg.Go(func() {
				p.note("client: POST %s, needs label a", id)
				r := p.fleet.Call(p.ctx, "POST", p.fleet.URL(0, "/q0/"+id), labelBody(60, "a"), 1500*time.Millisecond)
				p.note("client: POST %s answered %s", id, replyLine(r))
				mu.Lock()
				defer mu.Unlock()
				answers[r.Status]++
			})
		}
	})
	var failure error
	for round := range rounds {
		p.sleep(time.Second)
		if !p.trouble {
			p.sleep(frozen + 2*time.Second)
			continue
		}
		p.note("platform: dispatcher 0 freezes")
		p.fleet.Entries[0].Signal(syscall.SIGSTOP)
		p.sleep(50 * time.Millisecond)
		minions[0].crash()
		p.sleep(down)
		failure = minions[0].begin("b")
		p.sleep(frozen - down - 50*time.Millisecond)
		p.fleet.Entries[0].Signal(syscall.SIGCONT)
		p.note("platform: dispatcher 0 wakes; round %d", round)
		p.sleep(time.Second)
		if failure == nil {
			minions[0].crash()
			p.sleep(down)
			failure = minions[0].begin("a")
		}
		p.sleep(time.Second)
		if failure != nil {
			break
		}
	}
	close(done)
	wg.Wait()
	if failure != nil {
		return nil, failure
	}
	p.note("answers by status: %v; the name of a target ends with its kind", answers)
	var violations []string
	for _, id := range jobs {
		for _, line := range p.fleet.Checker.History(id) {
			p.note("    target: %s", line)
			if strings.Contains(line, "-b (") {
				violations = append(violations, "a task that needs the label a was started on a target without it: "+line)
			}
		}
	}
	return violations, nil
}

// Command harness2 plays the cases of the second review: it starts the dispatcher and the runner as
// processes on loopback addresses, against the stand-ins of package platform/standin, and checks one
// rule on what clients and targets have seen.
//
// It exits with 0 if the rule held, with 1 if it was broken and with 2 if the case couldn't run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/camphorrack/camphorrack/platform/standin"
)

// Exit codes.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// Bounds of the rules, as the pages state them for a small deployment.
const (
	cancelBound = 3 * time.Second         // cancel_ms
	stopBound   = 50 * time.Millisecond   // stopMs
	resendDelay = 1300 * time.Millisecond // resendMs
)

// playTimeout ends a case that takes too long.
const playTimeout = 100 * time.Second

// cases are the cases by name. Each returns the violations that it has seen.
var cases = map[string]func(*play) ([]string, error){}

// play is one run of a case.
type play struct {
	ctx     context.Context
	fleet   *standin.Fleet
	trouble bool
	binDir  string
	dir     string
	startAt time.Time

	mu     sync.Mutex
	record *os.File
}

// note writes a line to the record, with the time since the start.
func (p *play) note(format string, values ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.record, "%8.3f  %s\n", time.Since(p.startAt).Seconds(), fmt.Sprintf(format, values...))
}

// startFleet starts the store, the targets and the processes, and waits until the dispatchers are ready.
func (p *play) startFleet(o standin.FleetOptions) error {
	o.BinDir, o.Dir = p.binDir, p.dir
	fleet, err := standin.NewFleet(o)
	if err != nil {
		return err
	}
	p.fleet = fleet
	for i := range fleet.Entries {
		if err := p.waitReady(i); err != nil {
			return err
		}
	}
	p.sleep(time.Second) // every runner has sessions by now
	return nil
}

// waitReady waits until a dispatcher's readiness check answers 200.
func (p *play) waitReady(entry int) error {
	for deadline := time.Now().Add(20 * time.Second); p.fleet.ReadyStatus(entry) != 200; p.sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) || p.ctx.Err() != nil {
			return fmt.Errorf("dispatcher %d does not become ready", entry)
		}
	}
	return nil
}

func (p *play) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-p.ctx.Done():
	}
}

// history notes what the targets saw of a job.
func (p *play) history(job string) {
	for _, line := range p.fleet.Checker.History(job) {
		p.note("    target: %s", line)
	}
}

// replyLine returns a status and a body in one line.
func replyLine(r standin.Reply) string {
	if r.Err != nil {
		return fmt.Sprintf("no answer (%v)", r.Err)
	}
	return fmt.Sprintf("%d %s", r.Status, strings.TrimSpace(r.Body))
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness2 CASE BIN_DIR RECORD")
		return cannotRun
	}
	record, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer func() { _ = record.Close() }() // written without a buffer
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer func() { _ = os.RemoveAll(dir) }() // a temporary folder
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, playTimeout)
	defer cancel()
	p := &play{ctx: ctx, trouble: os.Getenv("TROUBLE") != "0", binDir: os.Args[2], dir: dir, startAt: time.Now(), record: record}
	p.note("case %s, disruption %t", os.Args[1], p.trouble)
	violations, err := cases[os.Args[1]](p)
	if p.fleet != nil {
		if keep := os.Getenv("KEEP_LOGS"); keep != "" {
			_ = os.CopyFS(filepath.Join(keep, filepath.Base(dir)), os.DirFS(dir)) // for debugging only
		}
		p.fleet.Close()
	}
	switch {
	case err != nil:
		p.note("the case couldn't run: %v", err)
		return cannotRun
	case len(violations) > 0:
		for _, v := range violations {
			p.note("BROKEN: %s", v)
		}
		fmt.Printf("broken: %d violations, the first: %s\n", len(violations), violations[0])
		return broken
	}
	p.note("the rule held")
	fmt.Println("held")
	return held
}

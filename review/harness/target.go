//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// targetOptions configure a target.
type targetOptions struct {
	name, zone, addr, control string
	cpuMilli, memMB           int
	holdMax                   time.Duration
}

// target stands in for a minion: it announces itself every heartbeatMs, starts and stops runs, keeps the
// highest fencing token and the highest run stopped or ended of each task, and ends all runs when the lease
// expires. It guards its capacity. Its answers take answerDelay.
type target struct {
	o        targetOptions
	record   *recorder
	server   *http.Server
	born     time.Time
	stopped  chan struct{}
	stopOnce sync.Once

	mu       sync.Mutex
	token    int64
	running  map[string]*targetRun
	highest  map[string]uint64
	ends     []targetEnd
	lastEnd  uint64
	leaseEnd time.Time
	lease    *time.Timer
	changed  chan struct{} // closed when a run ends
	starts   int           // starts accepted
}

type targetRun struct {
	*runRecord
	cpuMilli int
	timer    *time.Timer
}

type targetEnd struct {
	seq  uint64
	task string
	run  uint64
	how  string
}

const (
	heartbeatInterval = 1500 * time.Millisecond
	answerDelay       = 4 * time.Millisecond
	maxListedEnds     = 500
)

func newTarget(r *recorder, o targetOptions) *target {
	return &target{o: o, record: r, born: time.Now(), stopped: make(chan struct{}), running: map[string]*targetRun{}, highest: map[string]uint64{}, changed: make(chan struct{})}
}

func (t *target) start() error {
	l, err := net.Listen("tcp", t.o.addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", t.order(t.runStart))
	mux.HandleFunc("POST /run-stop", t.order(t.runStop))
	mux.HandleFunc("POST /hold", t.hold)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	t.server = &http.Server{Handler: mux}
	go func() { _ = t.server.Serve(l) }()
	go t.announce()
	return nil
}

func (t *target) stop() {
	t.stopOnce.Do(func() {
		close(t.stopped)
		_ = t.server.Close()
	})
}

// clockMs returns the target's steady clock.
func (t *target) clockMs() int64 { return 1000 + time.Since(t.born).Milliseconds() }

func (t *target) announce() {
	client := &http.Client{Timeout: time.Second}
	for seq := 1; ; seq++ {
		body, _ := json.Marshal(map[string]any{
			"service": service, "address": t.o.addr, "zone": t.o.zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
			"capacity": map[string]int{"cpu": t.o.cpuMilli, "memMb": t.o.memMB, "gpu": 0}, "labels": []string{"a", "r1-1"},
			"clockMs": t.clockMs(), "seq": seq, "born": t.born.UnixMilli(),
		})
		request, _ := http.NewRequest(http.MethodPut, "http://"+t.o.control+"/instances/"+t.o.name, bytes.NewReader(body))
		request.Header.Set("Content-Type", "application/json")
		wait := heartbeatInterval
		if response, err := client.Do(request); err == nil {
			_ = response.Body.Close()
		} else if seq < 20 {
			wait = 100 * time.Millisecond // the runner is not up yet
		}
		select {
		case <-t.stopped:
			return
		case <-time.After(wait):
		}
	}
}

// orderBody is the body of all calls.
type orderBody struct {
	Task         string `json:"task"`
	RunID        uint64 `json:"runId"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	AckCursor    uint64 `json:"ackCursor"`
	WaitMs       int64  `json:"waitMs"`
}

func (t *target) decode(w http.ResponseWriter, r *http.Request) *orderBody {
	if expected := r.Header.Get("X-Camphorrack-Expect-Instance"); expected != "" && expected != t.o.name {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return nil
	}
	data, err := io.ReadAll(r.Body)
	b := &orderBody{}
	if err != nil || json.Unmarshal(data, b) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return nil
	}
	return b
}

func answer(w http.ResponseWriter, status int, body map[string]any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (t *target) order(apply func(*orderBody) (reason string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		b := t.decode(w, r)
		if b == nil {
			return
		}
		t.mu.Lock()
		reason := "fence"
		if b.FencingToken >= t.token {
			t.token = b.FencingToken
			reason = apply(b)
		}
		body := map[string]any{"clockMs": t.clockMs()}
		t.mu.Unlock()
		t.record.add("target %s: %s run %d of task %s, answer %q", t.o.name, r.URL.Path, b.RunID, b.Task, reason)
		time.Sleep(answerDelay)
		if reason == "" {
			answer(w, http.StatusOK, body)
			return
		}
		body["reason"] = reason
		answer(w, http.StatusConflict, body)
	}
}

// renew extends the lease; it never shortens it.
func (t *target) renew(deadlineMs int64) {
	left := min(time.Duration(deadlineMs-t.clockMs())*time.Millisecond, t.o.holdMax)
	end := time.Now().Add(left)
	if left <= 0 || end.Before(t.leaseEnd) {
		return
	}
	t.leaseEnd = end
	if t.lease != nil {
		t.lease.Stop()
	}
	t.lease = time.AfterFunc(left, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if time.Now().Before(t.leaseEnd) {
			return
		}
		for _, r := range t.running {
			t.end(r, "lapsed")
		}
	})
}

// parseSpec reads the time that a task works and its processor, as "work MS CPU".
func parseSpec(spec string) (work time.Duration, cpuMilli int) {
	parts := strings.Fields(spec)
	if len(parts) < 3 {
		return time.Millisecond, 0
	}
	ms, _ := strconv.Atoi(parts[1])
	cpuMilli, _ = strconv.Atoi(parts[2])
	return time.Duration(ms) * time.Millisecond, cpuMilli
}

func (t *target) runStart(b *orderBody) string {
	if r := t.running[b.Task]; r != nil && r.run == b.RunID {
		t.renew(b.DeadlineMs)
		return ""
	}
	work, cpu := parseSpec(b.Spec)
	used := cpu
	for _, r := range t.running {
		used += r.cpuMilli
	}
	switch {
	case t.running[b.Task] != nil, b.RunID <= t.highest[b.Task]:
		t.renew(b.DeadlineMs)
		return "old"
	case b.DeadlineMs <= t.clockMs():
		return "late"
	}
	t.renew(b.DeadlineMs)
	if used > t.o.cpuMilli {
		return "room"
	}
	t.starts++
	r := &targetRun{runRecord: t.record.started(t.o.name, b.Task, b.RunID), cpuMilli: cpu}
	t.running[b.Task] = r
	r.timer = time.AfterFunc(work, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.running[b.Task] == r {
			t.end(r, "done")
		}
	})
	return ""
}

func (t *target) runStop(b *orderBody) string {
	t.highest[b.Task] = max(t.highest[b.Task], b.RunID)
	if r := t.running[b.Task]; r != nil && r.run <= b.RunID {
		t.end(r, "stopped")
	}
	return ""
}

// end ends a run; the caller holds the lock.
func (t *target) end(r *targetRun, how string) {
	r.timer.Stop()
	delete(t.running, r.task)
	t.highest[r.task] = max(t.highest[r.task], r.run)
	t.lastEnd++
	t.ends = append(t.ends, targetEnd{t.lastEnd, r.task, r.run, how})
	t.record.ended(r.runRecord, how)
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *target) hold(w http.ResponseWriter, r *http.Request) {
	b := t.decode(w, r)
	if b == nil {
		return
	}
	t.mu.Lock()
	if b.FencingToken < t.token {
		body := map[string]any{"clockMs": t.clockMs(), "reason": "fence"}
		t.mu.Unlock()
		answer(w, http.StatusConflict, body)
		return
	}
	t.token = b.FencingToken
	if b.DeadlineMs > 0 {
		t.renew(b.DeadlineMs)
	}
	for len(t.ends) > 0 && t.ends[0].seq <= b.AckCursor {
		t.ends = t.ends[1:]
	}
	changed, wait := t.changed, len(t.ends) == 0 && b.WaitMs > 0
	t.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-time.After(time.Duration(b.WaitMs) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	t.mu.Lock()
	running, finished := [][]any{}, [][]any{}
	for _, x := range t.running {
		running = append(running, []any{x.task, x.run, "", 50, x.cpuMilli})
	}
	for _, e := range t.ends[:min(len(t.ends), maxListedEnds)] {
		finished = append(finished, []any{e.seq, e.task, e.run, e.how, ""})
	}
	body := map[string]any{"clockMs": t.clockMs(), "born": t.born.UnixMilli(), "running": running, "finished": finished}
	t.mu.Unlock()
	answer(w, http.StatusOK, body)
}

// runs returns how many tasks of a job run here.
func (t *target) runsOf(job string) (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for task := range t.running {
		if strings.HasPrefix(task, job+".") {
			n++
		}
	}
	return n
}

func (t *target) String() string { return fmt.Sprintf("%s at %s", t.o.name, t.o.addr) }

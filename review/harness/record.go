//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sort"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, with milliseconds since its start, and keeps the runs.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	out   *bufio.Writer
	runs  []*runRecord
}

// runRecord is one run of a task on a target.
type runRecord struct {
	task, target string
	run          uint64
	from, to     time.Time // to is zero while it runs
	how          string
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(time.Now(), format, args...)
}

func (r *recorder) write(at time.Time, format string, args ...any) {
	fmt.Fprintf(r.out, "%9.1f ms  %s\n", float64(at.Sub(r.start).Microseconds())/1000, fmt.Sprintf(format, args...))
}

func (r *recorder) started(target, task string, run uint64) *runRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := &runRecord{task: task, target: target, run: run, from: time.Now()}
	r.runs = append(r.runs, rec)
	r.write(rec.from, "target %s: run %d of task %s starts", target, run, task)
	return rec
}

func (r *recorder) ended(rec *runRecord, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec.to, rec.how = time.Now(), how
	r.write(rec.to, "target %s: run %d of task %s ends: %s", rec.target, rec.run, rec.task, how)
}

// overlaps returns a line for each two runs of one task that were in progress at the same time.
func (r *recorder) overlaps() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	end := func(x *runRecord) time.Time {
		if x.to.IsZero() {
			return now
		}
		return x.to
	}
	runs := append([]*runRecord(nil), r.runs...)
	sort.SliceStable(runs, func(i, j int) bool { return runs[i].from.Before(runs[j].from) })
	var lines []string
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			if a.task != b.task || !b.from.Before(end(a)) {
				continue
			}
			until := end(a)
			if end(b).Before(until) {
				until = end(b)
			}
			lines = append(lines, fmt.Sprintf("TWICE: task %s: run %d on %s and run %d on %s, both in progress for %.1f ms",
				a.task, a.run, a.target, b.run, b.target, float64(until.Sub(b.from).Microseconds())/1000))
		}
	}
	return lines
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

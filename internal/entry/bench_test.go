package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/camphorrack/camphorrack/internal/entry"
	"github.com/camphorrack/camphorrack/internal/job"
)

// The delay of the hop is the difference between asking the owner and asking
// another entry. Look-ups of an answer that is there carry nothing else: no
// target, no wait. One caller at a time.
func BenchmarkLookup(b *testing.B) {
	first, second := startEntry(b), startEntry(b)
	startAgent(b, first.Addr())
	id := newID(benchToken(b, first.Addr()), 5*time.Minute, "job")
	benchCall(b, http.MethodPost, first.Addr(), "/v1/jobs", submission(id, "p"))
	for name, addr := range map[string]string{"owner": first.Addr(), "forwarded": second.Addr()} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				benchCall(b, http.MethodGet, addr, "/v1/jobs/"+id, nil)
			}
		})
	}
}

// envEntries names two running daemons, "ip:port,ip:port", to measure instead of
// two in this process: their processor time is then theirs alone.
const envEntries = "CAMPHORRACK_BENCH_ENTRIES"

// A job through an entry to an agent that answers at once, and back, with many
// callers at a time. owner-us/op and other-us/op are the processor time of the
// entry that owns the jobs and of the other one, when they run as daemons of their
// own; else both are the time of callers, entries and agent together.
func BenchmarkRequest(b *testing.B) {
	owner, other, external := strings.Cut(os.Getenv(envEntries), ",")
	if !external {
		owner, other = startEntry(b, manyJobs).Addr(), startEntry(b, manyJobs).Addr()
	}
	startAgent(b, owner)
	token := benchToken(b, owner)
	for name, addr := range map[string]string{"owner": owner, "forwarded": other} {
		for _, tasks := range []int{1, 10, 100} {
			b.Run(fmt.Sprintf("%s/tasks=%d", name, tasks), func(b *testing.B) {
				ownerBefore, otherBefore := processorTime(b, owner), processorTime(b, other)
				benchRequests(b, addr, token, tasks)
				b.ReportMetric(float64(processorTime(b, owner)-ownerBefore)/float64(b.N), "owner-us/op")
				b.ReportMetric(float64(processorTime(b, other)-otherBefore)/float64(b.N), "other-us/op")
			})
		}
	}
}

// What an entry spends on agents that have nothing to do, for the budget of
// control traffic. Name the entry as for BenchmarkRequest; the agents are here.
// One operation is a second.
func BenchmarkIdleAgents(b *testing.B) {
	addr, _, external := strings.Cut(os.Getenv(envEntries), ",")
	if !external {
		addr = startEntry(b).Addr()
	}
	connected := 0
	for _, agents := range []int{0, 100, 400} {
		for ; connected < agents; connected++ {
			startAgent(b, addr)
		}
		time.Sleep(8 * time.Second) // connections count as active for that long after hello
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			before, frames, bytes := processorTime(b, addr), figure(b, addr, "sessions.frames_out"), figure(b, addr, "sessions.bytes_out")
			time.Sleep(time.Duration(b.N) * time.Second)
			b.ReportMetric(float64(processorTime(b, addr)-before)/float64(b.N), "cpu-us/s")
			b.ReportMetric(float64(figure(b, addr, "sessions.frames_out")-frames)/float64(b.N), "frames-out/s")
			b.ReportMetric(float64(figure(b, addr, "sessions.bytes_out")-bytes)/float64(b.N), "frame-bytes-out/s")
		})
	}
}

func manyJobs(o *entry.Options) { o.MaxJobs = 10_000_000 }

var unique atomic.Int64

func benchRequests(b *testing.B, addr, token string, tasks int) {
	payloads := numbered(tasks)
	b.SetParallelism(4)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			id := newID(token, 5*time.Second, fmt.Sprint(unique.Add(1)))
			if !benchCall(b, http.MethodPost, addr, "/v1/jobs", submission(id, payloads...)) {
				return
			}
		}
	})
}

// processorTime returns the microseconds of processor time that a daemon has used.
func processorTime(b *testing.B, addr string) int64 { return figure(b, addr, "process.cpu_us") }

// figure reads one gauge of a daemon.
func figure(b *testing.B, addr, name string) int64 {
	r, err := try(context.Background(), http.MethodGet, addr, "/metrics", nil)
	var metrics map[string]struct{ Value int64 }
	if err != nil || json.Unmarshal([]byte(r.raw), &metrics) != nil {
		b.Fatalf("metrics of %s: %v %s", addr, err, r.raw)
	}
	return metrics[name].Value
}

// benchCall reports whether the answer is complete.
func benchCall(b *testing.B, method, addr, path string, body any) bool {
	r, err := try(context.Background(), method, addr, path, body)
	if err != nil || r.State != job.Complete {
		b.Errorf("%v %v", err, r.raw)
		return false
	}
	return true
}

func benchToken(b *testing.B, addr string) string {
	r, err := try(context.Background(), http.MethodGet, addr, "/v1/token", nil)
	if err != nil {
		b.Fatalf("token: %v", err)
	}
	return tokenIn(r)
}

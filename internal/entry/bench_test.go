package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
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
	id := newID(benchToken(b, first), 5*time.Minute, "job")
	benchPost(b, first, "/v1/jobs", submission(id, "p"))
	for name, addr := range map[string]string{"owner": first.Addr(), "forwarded": second.Addr()} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				benchCall(b, http.MethodGet, addr, "/v1/jobs/"+id, nil)
			}
		})
	}
}

// A single request through an entry to an agent that answers at once, and back,
// with many callers at a time. cpu-us/op is the processor time of callers, entries
// and agent together, which share this process.
func BenchmarkRequest(b *testing.B) {
	first, second := startEntry(b, manyJobs), startEntry(b, manyJobs)
	startAgent(b, first.Addr())
	token := benchToken(b, first)
	for name, addr := range map[string]string{"owner": first.Addr(), "forwarded": second.Addr()} {
		for _, tasks := range []int{1, 100} {
			b.Run(fmt.Sprintf("%s/tasks=%d", name, tasks), func(b *testing.B) { benchRequests(b, addr, token, tasks) })
		}
	}
}

func manyJobs(o *entry.Options) { o.MaxJobs = 10_000_000 }

var unique atomic.Int64

func benchRequests(b *testing.B, addr, token string, tasks int) {
	payloads := numbered(tasks)
	before := processorTime()
	b.SetParallelism(4)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			id := newID(token, 5*time.Second, fmt.Sprint(unique.Add(1)))
			benchCall(b, http.MethodPost, addr, "/v1/jobs", submission(id, payloads...))
		}
	})
	b.ReportMetric(float64((processorTime()-before).Microseconds())/float64(b.N), "cpu-us/op")
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func benchCall(b *testing.B, method, addr, path string, body any) {
	r, err := try(context.Background(), method, addr, path, body)
	if err != nil || r.State != job.Complete {
		b.Errorf("%v %v", err, r.raw)
	}
}

func benchPost(b *testing.B, e *entry.Entry, path string, body any) {
	benchCall(b, http.MethodPost, e.Addr(), path, body)
}

func benchToken(b *testing.B, e *entry.Entry) string {
	r, err := try(context.Background(), http.MethodGet, e.Addr(), "/v1/token", nil)
	if err != nil {
		b.Fatalf("token: %v", err)
	}
	return tokenIn(r)
}

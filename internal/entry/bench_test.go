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

// BenchmarkLookup measures lookups of a complete answer, by one caller at a time, at the
// owner and at another entry. The difference is the delay of forwarding, as neither a target
// nor a wait is involved.
func BenchmarkLookup(b *testing.B) {
	first, second := startEntry(b), startEntry(b)
	startAgent(b, first.Addr())
	id := newID(benchToken(b, first.Addr()), 5*time.Minute, "job")
	expectComplete(b, http.MethodPost, first.Addr(), "/v1/jobs", submission(id, "p"))
	for name, addr := range map[string]string{"owner": first.Addr(), "forwarded": second.Addr()} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				expectComplete(b, http.MethodGet, addr, "/v1/jobs/"+id, nil)
			}
		})
	}
}

// envEntries is the environment variable with the addresses of two running daemons,
// "ip:port,ip:port", to measure instead of two in this process. Their CPU time then includes
// neither callers nor agents.
const envEntries = "CAMPHORRACK_BENCH_ENTRIES"

// BenchmarkRequest measures jobs sent through an entry to an agent that answers at once, with
// many concurrent callers. owner-us/op and other-us/op are the CPU time of the entry that
// owns the jobs and of the other one if they run as separate daemons; else both are the CPU
// time of callers, entries and agent together.
func BenchmarkRequest(b *testing.B) {
	owner, other, external := strings.Cut(os.Getenv(envEntries), ",")
	if !external {
		owner, other = startEntry(b, allowManyJobs).Addr(), startEntry(b, allowManyJobs).Addr()
	}
	startAgent(b, owner)
	token := benchToken(b, owner)
	for name, addr := range map[string]string{"owner": owner, "forwarded": other} {
		for _, tasks := range []int{1, 10, 100} {
			b.Run(fmt.Sprintf("%s/tasks=%d", name, tasks), func(b *testing.B) {
				ownerBefore, otherBefore := cpuMicros(b, owner), cpuMicros(b, other)
				benchRequests(b, addr, token, tasks)
				b.ReportMetric(float64(cpuMicros(b, owner)-ownerBefore)/float64(b.N), "owner-us/op")
				b.ReportMetric(float64(cpuMicros(b, other)-otherBefore)/float64(b.N), "other-us/op")
			})
		}
	}
}

// BenchmarkIdleAgents measures CPU time, frames and bytes that an entry spends on idle agents,
// for the budget of control traffic. The entry is set as for BenchmarkRequest; the agents run
// in this process. One operation is a second.
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
			before, frames, bytes := cpuMicros(b, addr), gaugeValue(b, addr, "sessions.frames_out"), gaugeValue(b, addr, "sessions.bytes_out")
			time.Sleep(time.Duration(b.N) * time.Second)
			b.ReportMetric(float64(cpuMicros(b, addr)-before)/float64(b.N), "cpu-us/s")
			b.ReportMetric(float64(gaugeValue(b, addr, "sessions.frames_out")-frames)/float64(b.N), "frames-out/s")
			b.ReportMetric(float64(gaugeValue(b, addr, "sessions.bytes_out")-bytes)/float64(b.N), "frame-bytes-out/s")
		})
	}
}

func allowManyJobs(o *entry.Options) { o.MaxJobs = 10_000_000 }

var lastUnique atomic.Int64

// benchRequests sends jobs of so many tasks from parallel callers and waits for the answers.
func benchRequests(b *testing.B, addr, token string, tasks int) {
	payloads := numberedPayloads(tasks)
	b.SetParallelism(4)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			id := newID(token, 5*time.Second, fmt.Sprint(lastUnique.Add(1)))
			if !expectComplete(b, http.MethodPost, addr, "/v1/jobs", submission(id, payloads...)) {
				return
			}
		}
	})
}

// cpuMicros returns the CPU time that a daemon has used, in microseconds.
func cpuMicros(b *testing.B, addr string) int64 { return gaugeValue(b, addr, "process.cpu_us") }

// gaugeValue returns the value of one gauge of a daemon.
func gaugeValue(b *testing.B, addr, name string) int64 {
	r, err := send(context.Background(), http.MethodGet, addr, "/metrics", nil)
	var metrics map[string]struct{ Value int64 }
	if err != nil || json.Unmarshal([]byte(r.raw), &metrics) != nil {
		b.Fatalf("metrics of %s: %v %s", addr, err, r.raw)
	}
	return metrics[name].Value
}

// expectComplete sends one request and reports whether the answer is complete; if not, the
// benchmark fails.
func expectComplete(b *testing.B, method, addr, path string, body any) bool {
	r, err := send(context.Background(), method, addr, path, body)
	if err != nil || r.State != job.Complete {
		b.Errorf("%v %v", err, r.raw)
		return false
	}
	return true
}

func benchToken(b *testing.B, addr string) string {
	r, err := send(context.Background(), http.MethodGet, addr, "/v1/token", nil)
	if err != nil {
		b.Fatalf("token: %v", err)
	}
	return tokenIn(r)
}

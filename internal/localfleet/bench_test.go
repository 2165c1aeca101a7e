package localfleet

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/camphorrack/camphorrack/internal/client"
	"github.com/camphorrack/camphorrack/internal/job"
)

// binDirEnv is the environment variable with the directory of the built programs.
const binDirEnv = "CAMPHORRACK_BENCH_BIN"

// runMs is the run time of the tasks in milliseconds: short, so that many fit into a run, and
// long enough for the other processes to go idle between two.
const runMs = 20

// BenchmarkIdlePath measures the latency that the whole path adds on an idle system: a single
// request through an entry and an agent to a target and back, minus the same call made directly
// to the target. Both are medians of b.N calls, made alternately.
func BenchmarkIdlePath(b *testing.B) {
	bin := os.Getenv(binDirEnv)
	if bin == "" {
		b.Skip("set " + binDirEnv)
	}
	ctx := context.Background()
	f := New(Options{BinDir: bin, Key: rand.Text()})
	b.Cleanup(func() { f.Close() })
	entry, err := f.StartEntry(ctx, "entry", "", nil)
	must(b, err)
	agent, err := f.StartAgent(ctx, "agent", "", []string{entry.Addr})
	must(b, err)
	target, err := f.StartTarget(ctx, TargetOptions{Name: "target", Agent: agent.Addr, Slots: 8, Speed: 1})
	must(b, err)
	c, err := client.New(client.Options{Entries: []string{entry.Addr}})
	must(b, err)
	token := awaitToken(ctx, b, c)

	payload := fmt.Appendf(nil, `{"run_ms":%d,"echo":"x"}`, runMs)
	var through, direct []time.Duration
	for i := 0; b.Loop(); i++ {
		id := fmt.Sprintf("%s-%d-%d", token, time.Now().Add(time.Minute).UnixMilli(), i)
		s := &job.Submission{Team: "team", Class: "check", Single: true, Tasks: []job.Task{{Payload: payload, EstimateMs: runMs}}}
		began := time.Now()
		answer, err := c.Submit(ctx, id, s)
		must(b, err)
		if answer.State != job.Complete {
			b.Fatalf("%+v", answer)
		}
		through = append(through, time.Since(began))
		began = time.Now()
		response, err := http.Post("http://"+target.Addr+"/run", "application/octet-stream", bytes.NewReader(payload))
		must(b, err)
		_, err = io.Copy(io.Discard, response.Body)
		must(b, err)
		_ = response.Body.Close()
		direct = append(direct, time.Since(began))
	}
	b.ReportMetric(microseconds(median(through)-median(direct)), "added-us")
	b.ReportMetric(microseconds(median(direct)), "direct-us")
}

// awaitToken waits until the entry has a credit for the target, and returns a token.
func awaitToken(ctx context.Context, b *testing.B, c *client.Client) string {
	for range 100 {
		targets, err := c.Targets(ctx)
		if err == nil && len(targets) == 1 && targets[0].Credits > 0 {
			token, err := c.Token(ctx)
			must(b, err)
			return token
		}
		time.Sleep(50 * time.Millisecond)
	}
	status, _ := c.Status(ctx)
	encoded, _ := json.Marshal(status)
	b.Fatalf("the entry got no credit for the target; status: %s", encoded)
	return ""
}

// must fails the benchmark on an error.
func must(b *testing.B, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}

func median(d []time.Duration) time.Duration {
	slices.Sort(d)
	return d[len(d)/2]
}

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

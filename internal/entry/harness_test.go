package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/entry"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/forward"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/session"
	"github.com/camphorrack/camphorrack/internal/wire"
)

const testKey = "a key for tests only"

// startEntry runs an entry in this process until the test ends.
func startEntry(t testingT, change ...func(*entry.Options)) *entry.Entry {
	e := newEntry(t, change...)
	e.Start()
	return e
}

// newEntry returns an entry that is stopped at the end of the test.
func newEntry(t testingT, change ...func(*entry.Options)) *entry.Entry {
	o := entry.Options{Listen: "127.0.0.1:0", Key: testKey, MaxTimeout: 10 * time.Minute, MaxJobs: 10000,
		Policy: "least-work", CrashOnBreach: true}
	for _, c := range change {
		c(&o)
	}
	e, err := entry.New(o, logr.Discard())
	if err != nil {
		t.Fatalf("start an entry: %v", err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = e.Stop(ctx) // stopped without a drain, so the error is expected
	})
	return e
}

// testingT is the part of testing.TB that the harness uses; GinkgoT() implements it too.
type testingT interface {
	Fatalf(format string, args ...any)
	Cleanup(func())
}

// reply is a response: its status, header and body, raw and decoded.
type reply struct {
	status int
	header http.Header
	job.Answer
	raw string
}

func call(method, addr, path string, body any, headers ...string) reply {
	GinkgoHelper()
	r, err := send(context.Background(), method, addr, path, body, headers...)
	Expect(err).NotTo(HaveOccurred())
	return r
}

// httpClient keeps enough idle connections for the benchmarks' callers.
var httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}

// send sends one request. A body of []byte is sent unchanged, any other as JSON.
func send(ctx context.Context, method, addr, path string, body any, headers ...string) (reply, error) {
	encoded, raw := body.([]byte)
	if !raw && body != nil {
		encoded, _ = json.Marshal(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(encoded))
	if err != nil {
		return reply{}, err
	}
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{}, err
	}
	r := reply{status: response.StatusCode, header: response.Header, raw: string(text)}
	_ = json.Unmarshal(text, &r.Answer) // tests read replies of another form from raw
	return r, nil
}

func tokenOf(addr string) string {
	GinkgoHelper()
	return tokenIn(call(http.MethodGet, addr, "/v1/token", nil))
}

func tokenIn(r reply) string {
	var body struct{ Token string }
	_ = json.Unmarshal([]byte(r.raw), &body) // an empty token makes ids that entries reject
	return body.Token
}

// newID returns an id with the token, a deadline that is in from now, and the unique part.
func newID(token string, in time.Duration, unique string) string {
	return token + "-" + strconv.FormatInt(time.Now().Add(in).UnixMilli(), 10) + "-" + unique
}

// submission returns the body of a submission with one task per payload.
func submission(id string, payloads ...string) map[string]any {
	tasks := make([]map[string]any, len(payloads))
	for i, p := range payloads {
		tasks[i] = map[string]any{"payload": []byte(p), "estimate_ms": 50}
	}
	return map[string]any{"id": id, "team": "team", "class": "class", "tasks": tasks}
}

func numberedPayloads(n int) []string {
	payloads := make([]string, n)
	for i := range payloads {
		payloads[i] = fmt.Sprint("payload ", i)
	}
	return payloads
}

func haveFailure(code fault.Code, notRun bool) OmegaMatcher {
	return WithTransform(func(r reply) string {
		if r.Failure == nil {
			return "no failure: " + r.raw
		}
		return fmt.Sprintf("%s not_run=%v status=%d", r.Failure.Name, r.Failure.NotRun, r.status)
	}, Equal(fmt.Sprintf("%s not_run=%v status=%d", code, notRun, code.Status())))
}

// alwaysComplete is a reply function for startSlowOwner that returns a complete answer.
func alwaysComplete(http.Header) (int, string) { return http.StatusOK, `{"state":"complete"}` }

// slowOwner is a fake owner of submissions that replies after a delay.
type slowOwner struct{ token string }

// startSlowOwner starts an owner that delays each reply; reply gets the request's header.
func startSlowOwner(delay time.Duration, reply func(http.Header) (status int, body string)) *slowOwner {
	var self job.Owner
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(delay)
		w.Header().Set(forward.HeaderIncarnation, self.Incarnation.String())
		status, body := reply(r.Header)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	DeferCleanup(server.Close)
	self = job.Owner{Incarnation: 7, Addr: netip.MustParseAddrPort(server.Listener.Addr().String())}
	return &slowOwner{token: self.Token(job.Key(testKey))}
}

// fakeAgent completes every task at once with its payload as the result, or holds it.
type fakeAgent struct {
	mu     sync.Mutex
	starts map[string]int // by job and task
	hold   bool
	held   []wire.Start
	conn   *session.ToEntryConn
}

// manyCredits is more credits than any benchmark uses.
const manyCredits = 1 << 40

// workerCount numbers the agents' workers, because an agent replaces another one on the same
// worker.
var workerCount atomic.Int64

func startAgent(t testingT, addr string) *fakeAgent {
	a := &fakeAgent{starts: map[string]int{}}
	conn, err := session.Dial(context.Background(), addr, session.Options{})
	if err != nil {
		t.Fatalf("dial: %v", err)
	}
	a.conn = conn
	t.Cleanup(func() { conn.Close(nil) })
	conn.Send(&wire.ToEntry{Hello: &wire.Hello{
		Version: wire.Version, Incarnation: job.NewIncarnation(), Worker: "worker" + strconv.FormatInt(workerCount.Add(1), 10),
		Target: wire.Target{Name: "target", Slots: 1000, Speed: 1},
	}})
	go func() { _ = conn.Serve(a.receive) }()
	return a
}

func (a *fakeAgent) receive(f *wire.ToAgent) error {
	if f.Welcome != nil {
		a.conn.Send(&wire.ToEntry{Credits: &wire.Credits{Total: manyCredits, Owners: 1}})
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range f.Starts {
		a.starts[s.Job+"/"+strconv.Itoa(s.Task)]++
	}
	a.held = append(a.held, f.Starts...)
	if !a.hold {
		a.reportHeld()
	}
	return nil
}

// reportHeld reports the held tasks as succeeded. The caller must hold mu.
func (a *fakeAgent) reportHeld() {
	if len(a.held) == 0 {
		return
	}
	done := &wire.ToEntry{}
	for _, s := range a.held {
		done.Reports = append(done.Reports, wire.Report{Seq: s.Seq, State: wire.Succeeded, Result: s.Payload, RunMs: 1})
	}
	a.held = nil
	a.conn.Send(done)
}

// setHold makes the agent hold its tasks, or complete those held and all that follow.
func (a *fakeAgent) setHold(hold bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.hold = hold; !hold {
		a.reportHeld()
	}
}

// startCounts returns how many times each task was started, by "job/task".
func (a *fakeAgent) startCounts() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	counts := make(map[string]int, len(a.starts))
	for k, n := range a.starts {
		counts[k] = n
	}
	return counts
}

package client

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
)

func TestClient(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "client")
}

const id = "c1-0-0-0-1-x"

// fakeEntry records the calls it gets and sends the given replies in order; the last one is
// repeated.
type fakeEntry struct {
	addr string

	mu      sync.Mutex
	methods []string
	bodies  []string
}

// record records a call and returns its number, starting at 1.
func (e *fakeEntry) record(method, body string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.methods = append(e.methods, method)
	e.bodies = append(e.bodies, body)
	return len(e.methods)
}

func (e *fakeEntry) recorded() (methods, bodies []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.methods, e.bodies
}

func newFakeEntry(replies ...http.HandlerFunc) *fakeEntry {
	e := &fakeEntry{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sent, _ := io.ReadAll(r.Body)
		n := e.record(r.Method, string(sent))
		replies[min(n, len(replies))-1](w, r)
	}))
	DeferCleanup(server.Close)
	e.addr = strings.TrimPrefix(server.URL, "http://")
	return e
}

func replyWith(status int, a job.Answer) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(a)
	}
}

// closeConnection closes the connection after the request was read.
func closeConnection(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	Expect(err).NotTo(HaveOccurred())
	_ = conn.Close()
}

var _ = Describe("a submission", func() {
	complete := job.Answer{ID: id, State: job.Complete, Results: [][]byte{[]byte("r")}}
	request := &job.Submission{Team: "t", Class: "c", Tasks: []job.Task{{Payload: []byte("p")}}}

	submit := func(ctx context.Context, entries ...*fakeEntry) (*job.Answer, error) {
		var addrs []string
		for _, e := range entries {
			addrs = append(addrs, e.addr)
		}
		c, err := New(Options{Entries: addrs})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		return c.Submit(ctx, id, request)
	}

	// An entry ends after it has read a submission. The caller can't know whether the job was
	// started, and with a new id its task might run and be billed a second time.
	It("is sent through another entry with the same id when the connection is lost", func(ctx context.Context) {
		first, second := newFakeEntry(closeConnection), newFakeEntry(replyWith(http.StatusOK, complete))
		Expect(submit(ctx, first, second)).To(Equal(&complete))
		_, toFirst := first.recorded()
		_, toSecond := second.recorded()
		Expect(toFirst).To(HaveExactElements(ContainSubstring(id)))
		Expect(toSecond).To(Equal(toFirst))
	})

	// Guards against a caller that waits for one frozen entry until its deadline is past.
	It("is also sent to another entry while the first is silent", func(ctx context.Context) {
		frozen := make(chan struct{})
		defer close(frozen)
		first := newFakeEntry(func(http.ResponseWriter, *http.Request) { <-frozen })
		second := newFakeEntry(replyWith(http.StatusOK, complete))
		c, err := New(Options{Entries: []string{first.addr, second.addr}, CallTimeout: time.Hour, LongPollTimeout: time.Millisecond, HedgeDelay: 10 * time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		Expect(c.Submit(ctx, id, request)).To(Equal(&complete))
		Expect(c.Submit(ctx, id, request)).To(Equal(&complete))
		methods, _ := first.recorded()
		Expect(methods).To(HaveLen(1), "later calls go to the entry that replied")
	}, SpecTimeout(time.Minute))

	It("is looked up, not sent again, while it is pending", func(ctx context.Context) {
		e := newFakeEntry(replyWith(http.StatusAccepted, job.Answer{ID: id, State: job.Pending}), replyWith(http.StatusOK, complete))
		Expect(submit(ctx, e)).To(Equal(&complete))
		methods, _ := e.recorded()
		Expect(methods).To(Equal([]string{http.MethodPost, http.MethodGet}))
	})

	// The entry replies that the owner can't be reached. Treating that as a failure would report
	// a job as failed that may still complete.
	It("is polled while it is undecided", func(ctx context.Context) {
		undecidedAnswer := job.Answer{ID: id, State: job.Failed, Failure: fault.New(fault.Undecided, "")}
		undecided := func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
			_ = json.NewEncoder(w).Encode(undecidedAnswer.Failure)
		}
		Expect(submit(ctx, newFakeEntry(undecided, undecided, replyWith(http.StatusOK, complete)))).To(Equal(&complete))
	})

	It("ends as undecided when the caller stops waiting", func() {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err := submit(ctx, newFakeEntry(closeConnection))
		var undecided *UndecidedError
		Expect(errors.As(err, &undecided)).To(BeTrue())
		Expect(undecided.ID).To(Equal(id))
	})

	It("returns a refusal as an answer", func(ctx context.Context) {
		refused := job.Answer{ID: id, State: job.Refused, Failure: fault.Refused(fault.Overloaded, "full", time.Second)}
		Expect(submit(ctx, newFakeEntry(replyWith(http.StatusTooManyRequests, refused)))).To(Equal(&refused))
	})

	It("returns a fault of the request itself as a typed error", func(ctx context.Context) {
		bad := fault.Input(fault.BadField, "team", "wrong")
		_, err := submit(ctx, newFakeEntry(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(bad.Code.Status())
			_ = json.NewEncoder(w).Encode(bad)
		}))
		Expect(err).To(Equal(bad))
	})

	// Guards against a proxy that mixes up replies: with the answer to another caller's request, a
	// caller would use a result that was never computed for its submission.
	It("rejects the answer to another id", func(ctx context.Context) {
		otherAnswer := complete
		otherAnswer.ID = "c1-0-0-0-1-y"
		_, err := submit(ctx, newFakeEntry(replyWith(http.StatusOK, otherAnswer)))
		var mismatch *MismatchedAnswerError
		Expect(errors.As(err, &mismatch)).To(BeTrue())
	})
})

var _ = Describe("a token", func() {
	token := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"token":"t"}`) }

	// Guards against a caller that gets an error although its only entry was stalled just for a
	// moment.
	It("is requested again after a lost connection", func(ctx context.Context) {
		e := newFakeEntry(closeConnection, closeConnection, token)
		c, err := New(Options{Entries: []string{e.addr}})
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		Expect(c.Token(ctx)).To(Equal("t"))
	})

	// Guards against a caller that is refused although another entry accepts work.
	It("is requested from an entry that accepts work", func(ctx context.Context) {
		for _, code := range []fault.Code{fault.Draining, fault.NoConfiguration} {
			unavailable := newFakeEntry(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(code.Status())
				_ = json.NewEncoder(w).Encode(fault.New(code, ""))
			})
			c, err := New(Options{Entries: []string{unavailable.addr, newFakeEntry(token).addr}})
			Expect(err).NotTo(HaveOccurred())
			defer c.Close()
			Expect(c.Token(ctx)).To(Equal("t"))
		}
	})
})

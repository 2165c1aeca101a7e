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

// entry is a fake entry: it counts the calls and plays one reply after the other,
// the last again and again.
type entry struct {
	addr string

	mu      sync.Mutex
	methods []string
	bodies  []string
}

// take notes a call and returns its number, from 1.
func (e *entry) take(method, body string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.methods = append(e.methods, method)
	e.bodies = append(e.bodies, body)
	return len(e.methods)
}

func (e *entry) seen() (methods, bodies []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.methods, e.bodies
}

func fakeEntry(replies ...http.HandlerFunc) *entry {
	e := &entry{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sent, _ := io.ReadAll(r.Body)
		n := e.take(r.Method, string(sent))
		replies[min(n, len(replies))-1](w, r)
	}))
	DeferCleanup(server.Close)
	e.addr = strings.TrimPrefix(server.URL, "http://")
	return e
}

func answers(status int, a job.Answer) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(a)
	}
}

// hangsUp closes the connection once the request was read.
func hangsUp(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	Expect(err).NotTo(HaveOccurred())
	_ = conn.Close()
}

var _ = Describe("a submission", func() {
	complete := job.Answer{ID: id, State: job.Complete, Results: [][]byte{[]byte("r")}}
	request := &job.Submission{Team: "t", Class: "c", Tasks: []job.Task{{Payload: []byte("p")}}}

	submit := func(ctx context.Context, entries ...*entry) (*job.Answer, error) {
		var addrs []string
		for _, e := range entries {
			addrs = append(addrs, e.addr)
		}
		c, err := New(Options{Entries: addrs})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		return c.Submit(ctx, id, request)
	}

	// An entry dies after it read a submission. The caller can't know whether the
	// job was started, and a fresh id might bill its task a second time.
	It("goes through another entry under the same id when the connection is lost", func(ctx context.Context) {
		first, second := fakeEntry(hangsUp), fakeEntry(answers(http.StatusOK, complete))
		Expect(submit(ctx, first, second)).To(Equal(&complete))
		_, toFirst := first.seen()
		_, toSecond := second.seen()
		Expect(toFirst).To(HaveExactElements(ContainSubstring(id)))
		Expect(toSecond).To(Equal(toFirst))
	})

	// Guards against a caller that waits on one frozen entry until past its deadline.
	It("is asked for through another entry while the first is silent", func(ctx context.Context) {
		frozen := make(chan struct{})
		defer close(frozen)
		first := fakeEntry(func(http.ResponseWriter, *http.Request) { <-frozen })
		second := fakeEntry(answers(http.StatusOK, complete))
		c, err := New(Options{Entries: []string{first.addr, second.addr}, CallTimeout: time.Hour, LongPollTimeout: time.Millisecond, HedgeDelay: 10 * time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		Expect(c.Submit(ctx, id, request)).To(Equal(&complete))
		Expect(c.Submit(ctx, id, request)).To(Equal(&complete))
		methods, _ := first.seen()
		Expect(methods).To(HaveLen(1), "the entry that answers is asked from then on")
	}, SpecTimeout(time.Minute))

	It("is looked up, not sent again, while it is pending", func(ctx context.Context) {
		e := fakeEntry(answers(http.StatusAccepted, job.Answer{ID: id, State: job.Pending}), answers(http.StatusOK, complete))
		Expect(submit(ctx, e)).To(Equal(&complete))
		methods, _ := e.seen()
		Expect(methods).To(Equal([]string{http.MethodPost, http.MethodGet}))
	})

	// The owner can't be reached for a while, and the entry asked says so. Taking
	// that for a failure would report work as failed that may well complete.
	It("goes on asking while it is undecided", func(ctx context.Context) {
		undecided := job.Answer{ID: id, State: job.Failed, Failure: fault.New(fault.Undecided, "")}
		raw := func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
			_ = json.NewEncoder(w).Encode(undecided.Failure)
		}
		Expect(submit(ctx, fakeEntry(raw, raw, answers(http.StatusOK, complete)))).To(Equal(&complete))
	})

	It("ends as undecided when the caller stops waiting", func() {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err := submit(ctx, fakeEntry(hangsUp))
		var undecided *UndecidedError
		Expect(errors.As(err, &undecided)).To(BeTrue())
		Expect(undecided.ID).To(Equal(id))
	})

	It("returns a refusal as the answer that it is", func(ctx context.Context) {
		refused := job.Answer{ID: id, State: job.Refused, Failure: fault.Refused(fault.Overloaded, "full", time.Second)}
		Expect(submit(ctx, fakeEntry(answers(http.StatusTooManyRequests, refused)))).To(Equal(&refused))
	})

	It("returns a fault of the request itself as a typed error", func(ctx context.Context) {
		bad := fault.Input(fault.BadField, "team", "wrong")
		_, err := submit(ctx, fakeEntry(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(bad.Code.Status())
			_ = json.NewEncoder(w).Encode(bad)
		}))
		Expect(err).To(Equal(bad))
	})

	// A mix-up on the way hands a caller the answer to somebody else's request.
	// Used as its own, it would vouch for a reading that was never checked.
	It("never takes the answer to another id", func(ctx context.Context) {
		foreign := complete
		foreign.ID = "c1-0-0-0-1-y"
		_, err := submit(ctx, fakeEntry(answers(http.StatusOK, foreign)))
		var wrong *MismatchedAnswerError
		Expect(errors.As(err, &wrong)).To(BeTrue())
	})
})

var _ = Describe("a token", func() {
	token := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"token":"t"}`) }

	// Guards against a caller that is told of a lost connection although its only entry
	// stood still for a moment.
	It("is asked for again after a lost connection", func(ctx context.Context) {
		e := fakeEntry(hangsUp, hangsUp, token)
		c, err := New(Options{Entries: []string{e.addr}})
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		Expect(c.Token(ctx)).To(Equal("t"))
	})

	// Guards against a caller that is turned away although another entry takes work.
	It("comes from an entry that takes work", func(ctx context.Context) {
		for _, code := range []fault.Code{fault.Draining, fault.NoConfiguration} {
			leaving := fakeEntry(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(code.Status())
				_ = json.NewEncoder(w).Encode(fault.New(code, ""))
			})
			c, err := New(Options{Entries: []string{leaving.addr, fakeEntry(token).addr}})
			Expect(err).NotTo(HaveOccurred())
			defer c.Close()
			Expect(c.Token(ctx)).To(Equal("t"))
		}
	})
})

package forward_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/forward"
	"github.com/camphorrack/camphorrack/internal/job"
)

func TestForward(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "forward")
}

// scripted is an owner whose reply to each call is decided by the test.
type scripted struct {
	*httptest.Server
	owner job.Owner
	calls atomic.Int32
}

func newScripted(serve func(call int, s *scripted, w http.ResponseWriter, r *http.Request)) *scripted {
	s := &scripted{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		serve(int(s.calls.Add(1)), s, w, r)
	}))
	DeferCleanup(s.CloseClientConnections)
	s.owner = job.Owner{Incarnation: job.NewIncarnation(), Addr: netip.MustParseAddrPort(s.Listener.Addr().String())}
	return s
}

// answer replies as the owner does.
func (s *scripted) answer(w http.ResponseWriter, status int, body string) {
	w.Header().Set(forward.HeaderIncarnation, s.owner.Incarnation.String())
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}

// silent holds a call until its connection is closed, like a process that is
// stopped or a path that lost track of the connection.
func silent(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

var _ = Describe("forwarding", func() {
	var now *clock.Fake
	var forwarder *forward.Forwarder
	var deadline time.Time
	BeforeEach(func() {
		now = clock.NewFake(time.UnixMilli(1_800_000_000_000))
		deadline = now.Now().Add(time.Minute)
		forwarder = forward.New(forward.Options{Log: logr.Discard(), Clock: now,
			LongPollTimeout: 20 * time.Millisecond, ReplyGrace: 200 * time.Millisecond, RetryDelay: time.Millisecond})
	})
	post := func(s *scripted, wait time.Duration) (*forward.Reply, error) {
		return forwarder.Do(context.Background(), forward.Request{Owner: s.owner, ID: "id", Deadline: deadline,
			Method: http.MethodPost, Path: "/v1/jobs", Body: []byte("body"), Wait: wait, AcceptsWait: true})
	}
	verdict := func(err error) *fault.Fault {
		GinkgoHelper()
		var f *fault.Fault
		Expect(errors.As(err, &f)).To(BeTrue(), "%v", err)
		Expect(f.NotRun).To(BeFalse(), "nothing that may have reached the owner is 'not run'")
		return f
	}

	It("sends the body once, then asks in slices until the owner has the answer", func() {
		var methods []string
		s := newScripted(func(call int, s *scripted, w http.ResponseWriter, r *http.Request) {
			methods = append(methods, r.Method+" "+r.URL.String()+" "+r.Header.Get(forward.HeaderForwarded))
			if call < 3 {
				s.answer(w, http.StatusAccepted, "pending")
				return
			}
			s.answer(w, http.StatusBadGateway, "final")
		})
		reply, err := post(s, time.Minute)
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Status).To(Equal(http.StatusBadGateway))
		Expect(string(reply.Body)).To(Equal("final"))
		Expect(methods).To(Equal([]string{"POST /v1/jobs?wait_ms=20 1", "GET /v1/jobs/id?wait_ms=20 1", "GET /v1/jobs/id?wait_ms=20 1"}))

		pending, err := post(newScripted(func(_ int, s *scripted, w http.ResponseWriter, _ *http.Request) {
			s.answer(w, http.StatusAccepted, "pending")
		}), 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(pending.Status).To(Equal(http.StatusAccepted))
	})

	// A device on the way forgets a connection in use; new ones work. The caller
	// must get its answer after the silence and need not ask again.
	It("leaves a silent connection for a new one", func() {
		var addrs []string
		s := newScripted(func(call int, s *scripted, w http.ResponseWriter, r *http.Request) {
			addrs = append(addrs, r.RemoteAddr)
			switch call {
			case 1:
				s.answer(w, http.StatusAccepted, "pending")
			case 2:
				silent(r)
			default:
				s.answer(w, http.StatusOK, "done")
			}
		})
		reply, err := post(s, time.Minute)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(reply.Body)).To(Equal("done"))
		Expect(addrs).To(HaveLen(3))
		Expect(addrs[1]).To(Equal(addrs[0]))
		Expect(addrs[2]).NotTo(Equal(addrs[0]))
	})

	// The device forgets the idle connections as well. Tried one after the other, each
	// would cost the caller another silence.
	It("leaves all idle connections once one was silent", func() {
		both := make(chan struct{})
		var forgotten sync.Map
		s := newScripted(func(call int, s *scripted, w http.ResponseWriter, r *http.Request) {
			if call <= 2 {
				forgotten.Store(r.RemoteAddr, true)
				if call == 2 {
					close(both)
				}
				<-both
			} else if _, ok := forgotten.Load(r.RemoteAddr); ok {
				silent(r)
				return
			}
			s.answer(w, http.StatusOK, "done")
		})
		var calls sync.WaitGroup
		for range 2 {
			calls.Go(func() { _, _ = post(s, 0) })
		}
		calls.Wait()
		reply, err := post(s, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(reply.Body)).To(Equal("done"))
		Expect(s.calls.Load()).To(Equal(int32(4)))
	})

	// The owner is paused, cut off, or gone; nobody can tell which. It may have
	// started the job, so neither "not run" nor a failure would be true for sure.
	DescribeTable("is undecided while an unreachable owner may still answer, and unknown once it won't",
		func(serve func(*scripted, http.ResponseWriter, *http.Request), closed bool) {
			s := newScripted(func(_ int, s *scripted, w http.ResponseWriter, r *http.Request) { serve(s, w, r) })
			if closed {
				s.Listener.Close()
			}
			const unknownFrom = time.Minute + job.AnswerGrace + forward.MaxClockSkew
			for _, at := range []time.Duration{0, time.Minute, time.Minute + forward.MaxClockSkew, unknownFrom} {
				now.Advance(deadline.Add(-time.Minute + at).Sub(now.Now()))
				_, err := post(s, time.Minute)
				undecided := verdict(err)
				Expect(undecided.Code).To(Equal(fault.Undecided), "%s", at)
				Expect(undecided.RetryAfterMs).To(BeNumerically(">", 0))
			}
			now.Advance(time.Millisecond)
			_, err := post(s, time.Minute)
			Expect(verdict(err).Code).To(Equal(fault.OutcomeUnknown))
		},
		Entry("when it is frozen", func(_ *scripted, _ http.ResponseWriter, r *http.Request) { silent(r) }, false),
		Entry("when it refuses connections", nil, true),
		Entry("when the connection breaks in the reply", func(s *scripted, w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "1000")
			s.answer(w, http.StatusOK, "part")
			panic(http.ErrAbortHandler)
		}, false),
		Entry("when something that is no entry answers", func(_ *scripted, w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusNotFound)
		}, false),
	)

	// The owner's process was restarted. What it knew is lost, and its successor
	// would take a resubmission for a new job: it must never be asked to.
	It("reports the owner gone when another incarnation answers in its place", func() {
		s := newScripted(func(_ int, _ *scripted, w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(forward.HeaderIncarnation, job.NewIncarnation().String())
			_, _ = io.WriteString(w, `{"state":"complete"}`)
		})
		_, err := post(s, time.Minute)
		Expect(verdict(err).Code).To(Equal(fault.OwnerGone))
		Expect(s.calls.Load()).To(Equal(int32(1)))
	})

	// Guards against a silent owner holding up the caller's final answer past the deadline,
	// and against asking one whose clock is behind without a pause.
	It("asks for a short wait past the deadline", func() {
		var queries []string
		s := newScripted(func(_ int, s *scripted, w http.ResponseWriter, r *http.Request) {
			queries = append(queries, r.URL.RawQuery)
			s.answer(w, http.StatusOK, "done")
		})
		forwarder = forward.New(forward.Options{Log: logr.Discard(), Clock: now})
		for range 2 {
			_, err := post(s, time.Minute)
			Expect(err).NotTo(HaveOccurred())
			now.Advance(time.Minute + forward.MaxClockSkew + time.Millisecond)
		}
		Expect(queries).To(Equal([]string{"wait_ms=500", "wait_ms=100"}))
	})

	It("ends with its caller", func() {
		ctx, cancel := context.WithCancel(context.Background())
		s := newScripted(func(_ int, _ *scripted, _ http.ResponseWriter, r *http.Request) {
			cancel()
			silent(r)
		})
		_, err := forwarder.Do(ctx, forward.Request{Owner: s.owner, Deadline: deadline, Method: http.MethodGet, Path: "/"})
		Expect(verdict(err).Code).To(Equal(fault.Undecided))
		Expect(s.calls.Load()).To(Equal(int32(1)))
	})
})

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

// fakeOwner is an owner whose replies are defined by the test.
type fakeOwner struct {
	*httptest.Server
	owner job.Owner
	calls atomic.Int32
}

func newFakeOwner(serve func(call int, s *fakeOwner, w http.ResponseWriter, r *http.Request)) *fakeOwner {
	s := &fakeOwner{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		serve(int(s.calls.Add(1)), s, w, r)
	}))
	DeferCleanup(s.CloseClientConnections)
	s.owner = job.Owner{Incarnation: job.NewIncarnation(), Addr: netip.MustParseAddrPort(s.Listener.Addr().String())}
	return s
}

// reply writes a reply with the owner's incarnation.
func (s *fakeOwner) reply(w http.ResponseWriter, status int, body string) {
	w.Header().Set(forward.HeaderIncarnation, s.owner.Incarnation.String())
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}

// hang blocks a call until its connection is closed, as a stopped process or a network device
// that has lost the state of the connection does.
func hang(r *http.Request) {
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
	post := func(s *fakeOwner, wait time.Duration) (*forward.Reply, error) {
		return forwarder.Do(context.Background(), forward.Request{Owner: s.owner, ID: "id", Deadline: deadline,
			Method: http.MethodPost, Path: "/v1/jobs", Body: []byte("body"), Wait: wait, AcceptsWait: true})
	}
	faultOf := func(err error) *fault.Fault {
		GinkgoHelper()
		var f *fault.Fault
		Expect(errors.As(err, &f)).To(BeTrue(), "%v", err)
		Expect(f.NotRun).To(BeFalse(), "a request that may have reached the owner must not be reported as not run")
		return f
	}

	It("sends the body once, then polls until the owner has the answer", func() {
		var methods []string
		s := newFakeOwner(func(call int, s *fakeOwner, w http.ResponseWriter, r *http.Request) {
			methods = append(methods, r.Method+" "+r.URL.String()+" "+r.Header.Get(forward.HeaderForwarded))
			if call < 3 {
				s.reply(w, http.StatusAccepted, "pending")
				return
			}
			s.reply(w, http.StatusBadGateway, "final")
		})
		reply, err := post(s, time.Minute)
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Status).To(Equal(http.StatusBadGateway))
		Expect(string(reply.Body)).To(Equal("final"))
		Expect(methods).To(Equal([]string{"POST /v1/jobs?wait_ms=20 1", "GET /v1/jobs/id?wait_ms=20 1", "GET /v1/jobs/id?wait_ms=20 1"}))

		pending, err := post(newFakeOwner(func(_ int, s *fakeOwner, w http.ResponseWriter, _ *http.Request) {
			s.reply(w, http.StatusAccepted, "pending")
		}), 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(pending.Status).To(Equal(http.StatusAccepted))
	})

	// Guards against a caller that has to retry because a network device has lost the state of
	// a connection in use; new connections work.
	It("replaces a silent connection by a new one", func() {
		var addrs []string
		s := newFakeOwner(func(call int, s *fakeOwner, w http.ResponseWriter, r *http.Request) {
			addrs = append(addrs, r.RemoteAddr)
			switch call {
			case 1:
				s.reply(w, http.StatusAccepted, "pending")
			case 2:
				hang(r)
			default:
				s.reply(w, http.StatusOK, "done")
			}
		})
		reply, err := post(s, time.Minute)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(reply.Body)).To(Equal("done"))
		Expect(addrs).To(HaveLen(3))
		Expect(addrs[1]).To(Equal(addrs[0]))
		Expect(addrs[2]).NotTo(Equal(addrs[0]))
	})

	// The network device has lost the state of the idle connections too. If they were tried one
	// after the other, each would delay the caller by another silence timeout.
	It("closes all idle connections once one was silent", func() {
		bothReceived := make(chan struct{})
		var broken sync.Map
		s := newFakeOwner(func(call int, s *fakeOwner, w http.ResponseWriter, r *http.Request) {
			if call <= 2 {
				broken.Store(r.RemoteAddr, true)
				if call == 2 {
					close(bothReceived)
				}
				<-bothReceived
			} else if _, ok := broken.Load(r.RemoteAddr); ok {
				hang(r)
				return
			}
			s.reply(w, http.StatusOK, "done")
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

	// The owner is paused, disconnected or has ended, and these can't be distinguished. It may have
	// started the job, so both "not run" and a failure could be wrong.
	DescribeTable("is undecided while an unreachable owner may still answer, and has an unknown outcome after that",
		func(serve func(*fakeOwner, http.ResponseWriter, *http.Request), closed bool) {
			s := newFakeOwner(func(_ int, s *fakeOwner, w http.ResponseWriter, r *http.Request) { serve(s, w, r) })
			if closed {
				s.Listener.Close()
			}
			const unknownFrom = time.Minute + job.AnswerGrace + forward.MaxClockSkew
			for _, at := range []time.Duration{0, time.Minute, time.Minute + forward.MaxClockSkew, unknownFrom} {
				now.Advance(deadline.Add(-time.Minute + at).Sub(now.Now()))
				_, err := post(s, time.Minute)
				undecided := faultOf(err)
				Expect(undecided.Code).To(Equal(fault.Undecided), "%s", at)
				Expect(undecided.RetryAfterMs).To(BeNumerically(">", 0))
			}
			now.Advance(time.Millisecond)
			_, err := post(s, time.Minute)
			Expect(faultOf(err).Code).To(Equal(fault.OutcomeUnknown))
		},
		Entry("when it is frozen", func(_ *fakeOwner, _ http.ResponseWriter, r *http.Request) { hang(r) }, false),
		Entry("when it refuses connections", nil, true),
		Entry("when the connection breaks in the reply", func(s *fakeOwner, w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "1000")
			s.reply(w, http.StatusOK, "part")
			panic(http.ErrAbortHandler)
		}, false),
		Entry("when a process that is not an entry replies", func(_ *fakeOwner, w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusNotFound)
		}, false),
	)

	// The owner's process was restarted and has lost its state. Its successor would accept a
	// resubmission as a new job, so it must not get one.
	It("reports the owner as gone when another incarnation replies from its address", func() {
		s := newFakeOwner(func(_ int, _ *fakeOwner, w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(forward.HeaderIncarnation, job.NewIncarnation().String())
			_, _ = io.WriteString(w, `{"state":"complete"}`)
		})
		_, err := post(s, time.Minute)
		Expect(faultOf(err).Code).To(Equal(fault.OwnerGone))
		Expect(s.calls.Load()).To(Equal(int32(1)))
	})

	// Guards against a silent owner that delays the caller's final answer past the deadline, and
	// against polling an owner whose clock is behind in a busy loop.
	It("requests a short wait past the deadline", func() {
		var queries []string
		s := newFakeOwner(func(_ int, s *fakeOwner, w http.ResponseWriter, r *http.Request) {
			queries = append(queries, r.URL.RawQuery)
			s.reply(w, http.StatusOK, "done")
		})
		forwarder = forward.New(forward.Options{Log: logr.Discard(), Clock: now})
		for range 2 {
			_, err := post(s, time.Minute)
			Expect(err).NotTo(HaveOccurred())
			now.Advance(time.Minute + forward.MaxClockSkew + time.Millisecond)
		}
		Expect(queries).To(Equal([]string{"wait_ms=500", "wait_ms=100"}))
	})

	It("stops when its context is cancelled", func() {
		ctx, cancel := context.WithCancel(context.Background())
		s := newFakeOwner(func(_ int, _ *fakeOwner, _ http.ResponseWriter, r *http.Request) {
			cancel()
			hang(r)
		})
		_, err := forwarder.Do(ctx, forward.Request{Owner: s.owner, Deadline: deadline, Method: http.MethodGet, Path: "/"})
		Expect(faultOf(err).Code).To(Equal(fault.Undecided))
		Expect(s.calls.Load()).To(Equal(int32(1)))
	})
})

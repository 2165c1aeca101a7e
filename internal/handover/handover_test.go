package handover

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/dispatch"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/routing"
	"github.com/camphorrack/camphorrack/internal/scheduler/peerchoice"
	"github.com/camphorrack/camphorrack/internal/session"
	"github.com/camphorrack/camphorrack/internal/wire"
)

var options = session.Options{HeartbeatInterval: 20 * time.Millisecond, SilenceTimeout: 100 * time.Millisecond,
	IdleHeartbeatInterval: 20 * time.Millisecond, IdleSilenceTimeout: 100 * time.Millisecond}

var (
	complete = dispatch.Answer{Kind: dispatch.AnswerComplete}
	notRun   = dispatch.Answer{Kind: dispatch.AnswerNotRun, Fault: fault.Refused(fault.Overloaded, "full", time.Second)}
)

// entry is an entry with its endpoint on loopback. It records the jobs that it takes, and answers
// them at once if answer is set.
type entry struct {
	*Endpoint
	server *httptest.Server
	answer *dispatch.Answer
	busy   bool // submissions wait for the control state; set before the first one

	jobsMu    sync.Mutex // guards the fields below and answer
	taken     map[string]func(dispatch.Answer)
	callers   map[string]*dispatch.Caller
	abandoned []string
}

func (n *entry) SubmitHandedOver(s *wire.Submission, caller *dispatch.Caller, alive func() bool, answer func(dispatch.Answer)) {
	n.jobsMu.Lock()
	defer n.jobsMu.Unlock()
	if !n.busy && !alive() {
		return
	}
	n.taken[s.ID], n.callers[s.ID] = answer, caller
	if n.answer != nil {
		answer(*n.answer)
	}
}

func (n *entry) AbandonHandedOver(jobs []TakenJob) {
	n.jobsMu.Lock()
	defer n.jobsMu.Unlock()
	for _, j := range jobs {
		n.abandoned = append(n.abandoned, j.ID)
	}
}

func (n *entry) answerFunc(id string) func(dispatch.Answer) {
	n.jobsMu.Lock()
	defer n.jobsMu.Unlock()
	return n.taken[id]
}

func (n *entry) abandonedIDs() []string {
	n.jobsMu.Lock()
	defer n.jobsMu.Unlock()
	return append([]string(nil), n.abandoned...)
}

func (n *entry) addr() string { return strings.TrimPrefix(n.server.URL, "http://") }

// settleTime is the time after which runs of a cancelled job are over.
const settleTime = 800 * time.Millisecond

// newEntry starts an entry with targets that answers each job with answer; nil: not at once.
func newEntry(t *testing.T, answer *dispatch.Answer) *entry {
	n := &entry{taken: map[string]func(dispatch.Answer){}, callers: map[string]*dispatch.Caller{}, answer: answer}
	n.Endpoint = New(Options{Log: logr.Discard(), DataCentre: "a", Incarnation: job.NewIncarnation(), Session: options, Jobs: n, LostRunLimit: settleTime})
	n.UpdateState(wire.HandoverState{Targets: 5})
	mux := http.NewServeMux()
	mux.HandleFunc(session.EntryPath, n.Serve)
	n.server = httptest.NewServer(mux)
	t.Cleanup(func() { n.Close(); n.server.Close() })
	return n
}

// know makes entries known, in data centres that determine the order in which they are dialled.
func (n *entry) know(addrs ...string) {
	for i, addr := range addrs {
		n.Learn([]wire.Peer{{Addr: addr, DataCentre: []string{"a", "b"}[i]}})
	}
}

// update changes the load of a peer and waits until n has received it.
func (n *entry) update(g *WithT, peer *entry, state wire.HandoverState) {
	peer.UpdateState(state)
	g.Eventually(func() wire.HandoverState {
		n.Endpoint.mu.Lock()
		defer n.Endpoint.mu.Unlock()
		return n.peers[peer.addr()].state
	}).Should(Equal(state))
}

type result struct {
	Answer dispatch.Answer
	Taken  bool
}

func newJob(id string) *dispatch.Job {
	return &dispatch.Job{ID: id, Queue: &routing.Queue{Name: "q"}, Spec: "x", Steps: []dispatch.Step{{Count: 2, Estimate: time.Millisecond}}}
}

// begin hands a job over as a draining entry does.
func (n *entry) begin(ctx context.Context, id string) <-chan result {
	f := n.Begin(newJob(id), 2*time.Second, peerchoice.Outlook{Draining: true, SlackMs: 1000})
	done := make(chan result, 1)
	if f == nil {
		done <- result{}
		return done
	}
	go func() {
		answer, taken := f.Run(ctx, func() bool { return ctx.Err() != nil })
		done <- result{answer, taken}
	}()
	return done
}

// Guards against an answer that does not come back through the first entry, and against a second run
// for a copy of the request while the first is in flight or its answer is kept.
func TestAnswerReturnsToEachCopyOfTheRequest(t *testing.T) {
	g := NewWithT(t)
	first, peer := newEntry(t, nil), newEntry(t, nil)
	first.know(peer.addr())
	done := first.begin(context.Background(), "1")
	g.Eventually(func() any { return peer.answerFunc("1") }).ShouldNot(BeNil())
	copied, held := first.Attach("1")
	g.Expect(held).To(BeFalse())
	peer.answerFunc("1")(complete)
	peer.answerFunc("1")(notRun)
	g.Eventually(done).Should(Receive(Equal(result{complete, true})))
	answer, taken := copied.Wait(context.Background())
	g.Expect(result{answer, taken}).To(Equal(result{complete, true}))
	kept, _ := first.Attach("1")
	answer, taken = kept.Wait(context.Background())
	g.Expect(result{answer, taken}).To(Equal(result{complete, true}), "kept")
	g.Expect([]uint64{first.Counts().Sent.Load(), first.Counts().Answered.Load(), peer.Counts().Taken.Load()}).To(Equal([]uint64{1, 1, 1}))
	g.Expect(first.InFlight()).To(BeZero())
}

// Guards against a job that waits for an entry that is down, or of an older build, which responds
// with 404.
func TestDialFails(t *testing.T) {
	g := NewWithT(t)
	first := newEntry(t, nil)
	var dials atomic.Int32
	older := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		dials.Add(1)
		http.NotFound(w, r)
	}))
	defer older.Close()
	first.know(strings.TrimPrefix(older.URL, "http://"), "127.0.0.1:1")
	g.Eventually(first.begin(context.Background(), "1")).Should(Receive(Equal(result{})))
	g.Expect(first.Knows("1")).To(BeFalse(), "the job may be submitted here")
	g.Eventually(func() time.Time { return first.failedAt(strings.TrimPrefix(older.URL, "http://")) }).ShouldNot(BeZero())
	g.Eventually(func() time.Time { return first.failedAt("127.0.0.1:1") }).ShouldNot(BeZero())
	g.Expect(<-first.begin(context.Background(), "2")).To(Equal(result{}))
	g.Expect(dials.Load()).To(Equal(int32(1)), "no dial is repeated for each job")
}

func (n *entry) failedAt(addr string) time.Time {
	n.Endpoint.mu.Lock()
	defer n.Endpoint.mu.Unlock()
	return n.peers[addr].failedAt
}

// Guards against jobs that wait, at each dial, for an entry that accepts connections or loses
// packets and did not respond to the previous dial: an entry that is cut off from its peers
// would serve all jobs of its drain late.
func TestNoWaitForAnEntryThatDidNotRespond(t *testing.T) {
	g := NewWithT(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer silent.Close()
	addr := silent.Addr().String()
	first := newEntry(t, nil)
	first.know(addr)
	waits := func(id string) bool {
		f := first.Begin(newJob(id), 2*time.Second, peerchoice.Outlook{Draining: true, SlackMs: 1000})
		defer f.Leave(true)
		changed, _ := first.trySend(f, func() bool { return false })
		return changed != nil
	}
	g.Expect(waits("1")).To(BeTrue(), "the first dial")
	g.Eventually(func() time.Time { return first.failedAt(addr) }, "5s").ShouldNot(BeZero())
	first.Endpoint.mu.Lock()
	first.peers[addr].failedAt = time.Now().Add(-time.Minute)
	first.Endpoint.mu.Unlock()
	g.Expect(waits("2")).To(BeFalse())
	first.Endpoint.mu.Lock()
	defer first.Endpoint.mu.Unlock()
	g.Expect(first.peers[addr].dialling).To(BeTrue())
}

// Guards against an entry that abandons the job of another caller with the same ID because a
// submission was cancelled that its control state did not get.
func TestSubmissionThatWasNotSubmittedIsNotAbandoned(t *testing.T) {
	g := NewWithT(t)
	first, peer := newEntry(t, nil), newEntry(t, nil)
	peer.busy = true
	first.know(peer.addr())
	ctx, leave := context.WithCancel(context.Background())
	done := first.begin(ctx, "1")
	g.Eventually(func() any { return peer.answerFunc("1") }).ShouldNot(BeNil())
	leave()
	g.Eventually(done).Should(Receive())
	first.begin(context.Background(), "2")
	g.Eventually(func() any { return peer.answerFunc("2") }).ShouldNot(BeNil(), "the cancellation before it was received")
	g.Expect(peer.abandonedIDs()).To(BeEmpty())
}

// Guards against a session that ends with all its jobs because of one answer whose detail was cut
// within a character.
func TestLongDetailOfAnAnswer(t *testing.T) {
	g := NewWithT(t)
	failed := dispatch.Answer{Kind: dispatch.AnswerFailed, Fault: fault.New(fault.Suspected, strings.Repeat("x", maxDetailBytes-1)+"\u00e9")}
	first, peer := newEntry(t, nil), newEntry(t, &failed)
	first.know(peer.addr())
	g.Eventually(first.begin(context.Background(), "1")).Should(Receive(HaveField("Answer.Kind", dispatch.AnswerFailed)))
}

// Guards against a session that ends with all its jobs because the peer's decoder rejects one
// submission: a list of more than 65,536 elements.
func TestLongListOfDependenciesIsNotHandedOver(t *testing.T) {
	g := NewWithT(t)
	first := newEntry(t, nil)
	first.know("127.0.0.1:1")
	j := newJob("1")
	j.Steps = append(j.Steps, dispatch.Step{Count: 1, DependsOn: make([]int, 70_000)})
	g.Expect(first.Begin(j, time.Second, peerchoice.Outlook{Draining: true})).To(BeNil())
}

// Guards against a budget that stays used up, or is not kept, after a jump of the host's clock.
func TestBudgetFollowsTheAnchoredClock(t *testing.T) {
	g := NewWithT(t)
	first := newEntry(t, nil)
	first.know("127.0.0.1:1")
	fake := clock.NewFake(time.Now().Add(time.Hour))
	first.Endpoint.clock = fake
	begin := func() *Flight {
		f := first.Begin(newJob("1"), time.Second, peerchoice.Outlook{NoTarget: true})
		if f != nil {
			f.Leave(true)
		}
		return f
	}
	for begin() != nil {
	}
	fake.Advance(1100 * time.Millisecond)
	g.Expect(begin()).NotTo(BeNil())
}

// Guards against a refusal because the first peer closed its session before a job was written to it.
func TestSessionEndsBeforeTheWrite(t *testing.T) {
	g := NewWithT(t)
	first, peer := newEntry(t, nil), newEntry(t, &complete)
	closing := newRawPeer(t, func(conn *session.ToAgentConn) { conn.Close(nil) })
	first.know(closing, peer.addr())
	g.Eventually(first.begin(context.Background(), "1")).Should(Receive(Equal(result{complete, true})))
}

// Guards against an answer "not run" for a job that the peer may have started, and against a job that
// continues at the peer after its session has ended.
func TestSessionEndsAfterTheWrite(t *testing.T) {
	g := NewWithT(t)
	first, peer, other := newEntry(t, nil), newEntry(t, nil), newEntry(t, &complete)
	first.know(peer.addr(), other.addr())
	first.dialNow()
	g.Eventually(first.Sessions).Should(Equal(2))
	first.update(g, other, wire.HandoverState{Targets: 5, LinkWaitMs: 500})
	done := first.begin(context.Background(), "1")
	g.Eventually(func() any { return peer.answerFunc("1") }).ShouldNot(BeNil())
	first.Endpoint.mu.Lock()
	first.peers[peer.addr()].conn.Close(nil)
	first.Endpoint.mu.Unlock()
	var got result
	g.Eventually(done).Should(Receive(&got))
	g.Expect(got.Taken).To(BeTrue())
	g.Expect(got.Answer.Kind).To(Equal(dispatch.AnswerUnknown))
	g.Eventually(peer.abandonedIDs).Should(Equal([]string{"1"}))
	g.Expect(first.Counts().Lost.Load()).To(Equal(uint64(1)))
	peer.answerFunc("1")(complete) // dropped
	g.Expect(other.answerFunc("1")).To(BeNil())
}

func (n *entry) dialNow() {
	n.Endpoint.mu.Lock()
	defer n.Endpoint.mu.Unlock()
	n.dial(time.Now())
}

// Guards against a job that runs on after its caller has left, and against a copy of the request that
// starts while its runs may not be over.
func TestCallerLeaves(t *testing.T) {
	g := NewWithT(t)
	first, peer := newEntry(t, nil), newEntry(t, nil)
	first.know(peer.addr())
	ctx, leave := context.WithCancel(context.Background())
	done := first.begin(ctx, "1")
	g.Eventually(func() any { return peer.answerFunc("1") }).ShouldNot(BeNil())
	copied, _ := first.Attach("1")
	leftAt := time.Now()
	leave()
	g.Eventually(done).Should(Receive(HaveField("Answer.Kind", dispatch.AnswerUnknown)))
	g.Consistently(peer.abandonedIDs, "50ms").Should(BeEmpty(), "a copy still waits")
	copied.Leave(false)
	g.Eventually(peer.abandonedIDs).Should(Equal([]string{"1"}))
	copied, held := first.Attach("1")
	g.Expect(held).To(BeTrue())
	_, ended := copied.WaitSettled(context.Background())
	g.Expect(ended).To(BeFalse())
	g.Expect(time.Since(leftAt)).To(BeNumerically(">=", settleTime))
	g.Expect(first.Knows("1")).To(BeFalse())
}

// Guards against a job that starts after it was cancelled: a copy of its request waits until the runs of a hand-over
// are over.
func TestCancellationEndsACopyThatWaitsForAHandover(t *testing.T) {
	g := NewWithT(t)
	first, peer := newEntry(t, nil), newEntry(t, nil)
	first.know(peer.addr())
	done := first.begin(context.Background(), "1")
	g.Eventually(func() any { return peer.answerFunc("1") }).ShouldNot(BeNil())
	g.Expect(first.Cancel("1")).To(BeTrue())
	g.Eventually(done).Should(Receive(HaveField("Answer.Kind", dispatch.AnswerUnknown)))
	copied, held := first.Attach("1")
	g.Expect(held).To(BeTrue())
	g.Expect(first.Cancel("1")).To(BeTrue())
	answer, ended := copied.WaitSettled(context.Background())
	g.Expect(ended).To(BeTrue())
	g.Expect(answer.Fault.Code).To(Equal(fault.Cancelled))
}

// Guards against a refusal by one peer that refuses the job although another has capacity, and against
// endless attempts.
func TestPeersAnswerNotRun(t *testing.T) {
	g := NewWithT(t)
	first, full, peer := newEntry(t, nil), newEntry(t, &notRun), newEntry(t, &complete)
	first.know(full.addr(), peer.addr())
	first.dialNow()
	g.Eventually(first.Sessions).Should(Equal(2))
	first.update(g, peer, wire.HandoverState{Targets: 5, LinkWaitMs: 50})
	g.Eventually(first.begin(context.Background(), "1")).Should(Receive(Equal(result{complete, true})))
	g.Expect(full.answerFunc("1")).NotTo(BeNil())
	peer.jobsMu.Lock()
	peer.answer = &notRun
	peer.jobsMu.Unlock()
	g.Eventually(first.begin(context.Background(), "2")).Should(Receive(Equal(result{})))
	g.Expect(first.Counts().Refused.Load()).To(Equal(uint64(3)))
	g.Expect(first.Knows("2")).To(BeFalse())
}

// Guards against a job that crashes targets through one entry after another.
func TestSuspectedJobIsNotTriedElsewhere(t *testing.T) {
	g := NewWithT(t)
	suspected := dispatch.Answer{Kind: dispatch.AnswerNotRun, Fault: fault.Refused(fault.Suspected, "x", time.Second), RetryAfter: time.Second}
	first, peer := newEntry(t, nil), newEntry(t, &suspected)
	first.know(peer.addr())
	g.Eventually(first.begin(context.Background(), "1")).Should(Receive(Equal(result{suspected, true})))
	g.Expect(first.Knows("1")).To(BeFalse())
}

// Guards against a caller that waits for a frozen peer, and against a peer that, when it continues,
// starts a job that it reads from its buffers.
func TestPeerFreezes(t *testing.T) {
	g := NewWithT(t)
	first := newEntry(t, nil)
	stop := make(chan struct{})
	defer close(stop)
	first.know(newRawPeer(t, func(conn *session.ToAgentConn) {
		_ = conn.Serve(func(*wire.ToEntry) error { <-stop; return nil }) // acknowledges nothing
	}))
	startedAt := time.Now()
	g.Eventually(first.begin(context.Background(), "1")).Should(Receive(HaveField("Answer.Kind", dispatch.AnswerUnknown)))
	g.Expect(time.Since(startedAt)).To(BeNumerically("<", 300*time.Millisecond))

	frozen := newEntry(t, nil)
	s := &servingSession{endpoint: frozen.Endpoint, jobs: map[uint64]*takenJob{}, helloSeen: true, lastFrameAt: time.Now().Add(-200 * time.Millisecond)}
	g.Expect(s.receive(&wire.ToEntry{Handover: &wire.HandoverRequest{Submissions: []wire.Submission{valid(1)}}})).NotTo(Succeed())
	g.Expect(frozen.answerFunc("1")).To(BeNil())
}

// newRawPeer starts a peer that sends a valid first frame and then does what serve does. It returns
// its address.
func newRawPeer(t *testing.T, serve func(*session.ToAgentConn)) string {
	mux := http.NewServeMux()
	mux.HandleFunc(session.EntryPath, func(w http.ResponseWriter, r *http.Request) {
		conn, err := session.Accept(w, r, options)
		if err != nil {
			return
		}
		conn.Send(&wire.ToAgent{Welcome: &wire.Welcome{Version: wire.Version, Incarnation: job.NewIncarnation()}, Handover: &wire.HandoverReply{State: &wire.HandoverState{Targets: 1}}})
		serve(conn)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against sessions that stay open for ever, or that are closed under a job.
func TestUnusedSessionsAreClosed(t *testing.T) {
	g := NewWithT(t)
	first, peer := newEntry(t, nil), newEntry(t, nil)
	first.know(peer.addr())
	done := first.begin(context.Background(), "1")
	g.Eventually(func() any { return peer.answerFunc("1") }).ShouldNot(BeNil())
	age := func() {
		first.Endpoint.mu.Lock()
		first.neededAt = first.neededAt.Add(-idleTimeout)
		for _, p := range first.peers {
			p.usedAt = p.usedAt.Add(-idleTimeout)
		}
		first.Endpoint.mu.Unlock()
		first.Tick(0, false)
	}
	age()
	first.update(g, peer, wire.HandoverState{Targets: 5, Draining: true})
	first.Tick(0, false)
	g.Expect(first.Sessions()).To(Equal(1))
	peer.answerFunc("1")(complete)
	g.Eventually(done).Should(Receive(Equal(result{complete, true})), "a draining peer ends what it has taken")
	age()
	g.Eventually(first.Sessions).Should(BeZero())
	first.Tick(0, false)
	g.Consistently(first.Sessions, "50ms").Should(BeZero())
}

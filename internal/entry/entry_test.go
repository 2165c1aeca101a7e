package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/entry"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/forward"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/session"
	"github.com/camphorrack/camphorrack/internal/wire"
)

func TestEntry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "entry")
}

var _ = Describe("the callers' API", func() {
	var first, second *entry.Entry
	var agent *fakeAgent
	var token string
	BeforeEach(func() {
		first, second = startEntry(GinkgoT()), startEntry(GinkgoT())
		agent = startAgent(GinkgoT(), first.Addr())
		token = tokenOf(first.Addr())
	})

	// After a broken connection, a caller resubmits its job several times at once, through
	// whichever entries the balancer picks. A task that starts twice may bill a customer
	// twice; with differing answers, the caller may act on a wrong one.
	It("gives the same answer to resubmissions through any entry, and starts each task once", func() {
		id := newID(token, time.Minute, "job")
		payloads := numberedPayloads(job.MaxTasks)
		agent.setHold(true)
		addrs := []string{first.Addr(), second.Addr()}
		replies := make(chan reply, 20)
		for i := range 20 {
			go func() {
				defer GinkgoRecover()
				replies <- call(http.MethodPost, addrs[i%2], "/v1/jobs", submission(id, payloads...))
			}()
		}
		Eventually(agent.startCounts).Should(HaveLen(job.MaxTasks))
		agent.setHold(false)
		for range 20 {
			var r reply
			Eventually(replies, "10s").Should(Receive(&r))
			Expect(r.status).To(Equal(http.StatusOK))
			Expect(r.State).To(Equal(job.Complete))
			for i, p := range payloads {
				Expect(string(r.Results[i])).To(Equal(p))
			}
		}
		Expect(agent.startCounts()).To(HaveEach(1))
		Expect(call(http.MethodGet, second.Addr(), "/v1/jobs/"+id, nil).Results).To(HaveLen(job.MaxTasks))
		other := call(http.MethodPost, second.Addr(), "/v1/jobs", submission(id, "another body"))
		Expect(other.Failure.Code).To(Equal(fault.BodyMismatch))
	})

	// The caller's process ends while it waits. Its job must still run once, and a later
	// lookup of the id must get the answer.
	It("continues a job whose caller has disconnected, and keeps the answer for a lookup", func() {
		agent.setHold(true)
		id := newID(token, time.Minute, "job")
		ctx, cancel := context.WithCancel(context.Background())
		disconnected := make(chan error, 1)
		go func() {
			_, err := send(ctx, http.MethodPost, second.Addr(), "/v1/requests", submission(id, "p"))
			disconnected <- err
		}()
		Eventually(agent.startCounts).Should(HaveLen(1))
		cancel()
		Eventually(disconnected).Should(Receive(MatchError(context.Canceled)))
		pending := call(http.MethodGet, second.Addr(), "/v1/jobs/"+id+"?wait_ms=30", nil)
		Expect(pending.status).To(Equal(http.StatusAccepted))
		Expect(pending.State).To(Equal(job.Pending))
		agent.setHold(false)
		Expect(call(http.MethodGet, second.Addr(), "/v1/jobs/"+id, nil).State).To(Equal(job.Complete))
	})

	It("creates an id for a submission without one, and sets the incarnation header", func() {
		r := call(http.MethodPost, second.Addr(), "/v1/requests?wait_ms=0", submission("", "p"))
		Expect(r.State).To(Equal(job.Pending))
		id, err := job.ParseID(r.ID, job.Key(testKey))
		Expect(err).NotTo(HaveOccurred())
		Expect(id.Owner.Addr.String()).To(Equal(second.Addr()))
		Expect(r.header.Get(forward.HeaderIncarnation)).To(Equal(id.Owner.Incarnation.String()))
	})

	// Invalid input must start nothing, get a fault that names the wrong field, and not affect
	// other callers.
	It("rejects invalid input with a numbered fault that names the field, and starts nothing", func() {
		good := newID(token, time.Minute, "x")
		long := make([]byte, job.MaxPayloadBytes+1)
		bad := []struct {
			path  string
			body  any
			code  fault.Code
			field string
		}{
			{"/v1/jobs", []byte(`{`), fault.BadBody, "body"},
			{"/v1/jobs", []byte(``), fault.BadBody, "body"},
			{"/v1/jobs", []byte("\xff\xfe"), fault.BadBody, "body"},
			{"/v1/jobs", []byte(`{"team":"t"} {}`), fault.BadBody, "body"},
			{"/v1/jobs", []byte(`{"tasksets":[]}`), fault.BadBody, "tasksets"},
			{"/v1/jobs", []byte(`{"tasks":[{"payload":"aGk=","priority":1}]}`), fault.BadBody, "priority"},
			{"/v1/jobs", []byte(`{"team":7}`), fault.BadBody, "team"},
			{"/v1/jobs", []byte(`{"tasks":[{"estimate_ms":"long"}]}`), fault.BadBody, "tasks.estimate_ms"},
			{"/v1/jobs", []byte(`{"id":"` + strings.Repeat("x", job.MaxBodyBytes) + `"}`), fault.BodyTooLarge, "body"},
			{"/v1/jobs", submission(good), fault.BadTaskCount, "tasks"},
			{"/v1/jobs", submission(good, numberedPayloads(job.MaxTasks+1)...), fault.BadTaskCount, "tasks"},
			{"/v1/requests", submission(good, "a", "b"), fault.BadTaskCount, "tasks"},
			{"/v1/jobs", submission(good, string(long)), fault.BodyTooLarge, "tasks[0].payload"},
			{"/v1/jobs", submission("my-own-id", "p"), fault.BadID, "id"},
			{"/v1/jobs", submission(strings.Replace(good, "c1-", "c1-f", 1), "p"), fault.BadID, "id"},
			{"/v1/jobs", submission(newID(token, time.Minute, "a b"), "p"), fault.BadID, "id"},
			{"/v1/jobs?wait_ms=-1", submission(good, "p"), fault.BadField, "wait_ms"},
			{"/v1/jobs?wait=1", submission(good, "p"), fault.BadField, "wait"},
			{"/v1/jobs", submission(newID(token, -time.Second, "x"), "p"), fault.DeadlinePast, "id"},
			{"/v1/cancel", []byte(`{"ids":[]}`), fault.BadField, "ids"},
			{"/v1/nothing", nil, fault.UnknownResource, "path"},
		}
		for _, b := range bad {
			r := call(http.MethodPost, first.Addr(), b.path, b.body)
			Expect(r).To(haveFailure(b.code, true), "%s %.100v", b.path, b.body)
			Expect(r.Failure.Field).To(Equal(b.field), "%s %.100v", b.path, b.body)
		}
		late := call(http.MethodPost, first.Addr(), "/v1/jobs", submission(newID(token, -time.Second, "x"), "p"))
		Expect(late.State).To(Equal(job.Failed), "the state that another entry reports for an id past its deadline")
		far := call(http.MethodPost, first.Addr(), "/v1/jobs", submission(newID(token, time.Hour, "x"), "p"))
		Expect(far).To(haveFailure(fault.DeadlineTooFar, false))
		Expect(agent.startCounts()).To(BeEmpty())
		Expect(call(http.MethodPost, first.Addr(), "/v1/jobs", submission(good, "p")).State).To(Equal(job.Complete))
	})

	// A submission runs, and a copy of it is corrupted in transit. If the reply to the copy
	// said "not run", the caller would take the task for one that never ran, and bill or
	// dose a second time under a new id.
	It("does not report \"not run\" for a corrupted copy of a submission that ran", func() {
		id := newID(token, time.Minute, "ran")
		Expect(call(http.MethodPost, first.Addr(), "/v1/jobs", submission(id, "p")).State).To(Equal(job.Complete))
		garbled := call(http.MethodPost, second.Addr(), "/v1/jobs", []byte(`{"id":"`+id+`","tasks":[],"x":1}`))
		Expect(garbled).To(haveFailure(fault.BadBody, false))
		empty := call(http.MethodPost, second.Addr(), "/v1/jobs", submission(id))
		Expect(empty).To(haveFailure(fault.BadTaskCount, false))
	})

	// A caller cancels hundreds of jobs at once. They belong to several owners, and some have
	// ended or are unknown.
	It("cancels a batch of jobs of several owners and reports a result for each id", func() {
		agent.setHold(true)
		var ids []string
		tokens := []string{token, tokenOf(second.Addr())}
		for i := range 40 {
			id := newID(tokens[i%2], time.Minute, fmt.Sprint("job", i))
			Expect(call(http.MethodPost, first.Addr(), "/v1/jobs?wait_ms=0", submission(id, "p")).State).To(Equal(job.Pending))
			ids = append(ids, id)
		}
		r := call(http.MethodPost, second.Addr(), "/v1/cancel", map[string]any{"ids": append(ids, "nonsense")})
		Expect(r.status).To(Equal(http.StatusOK))
		var batch struct {
			Results []struct {
				ID      string
				Failure *fault.Fault
			}
		}
		Expect(json.Unmarshal([]byte(r.raw), &batch)).To(Succeed())
		Expect(batch.Results).To(HaveLen(41))
		for i, id := range ids {
			Expect(batch.Results[i].ID).To(Equal(id))
			Expect(batch.Results[i].Failure).To(BeNil())
			Expect(call(http.MethodGet, first.Addr(), "/v1/jobs/"+id, nil).Failure.Code).To(Equal(fault.Cancelled))
		}
		Expect(batch.Results[40].Failure.Code).To(Equal(fault.BadID))

		one := newID(token, time.Minute, "one")
		call(http.MethodPost, first.Addr(), "/v1/jobs?wait_ms=0", submission(one, "p"))
		Expect(call(http.MethodDelete, second.Addr(), "/v1/jobs/"+one, nil).status).To(Equal(http.StatusOK))
		Expect(call(http.MethodGet, first.Addr(), "/v1/jobs/"+one, nil).Failure.Code).To(Equal(fault.Cancelled))
	})
})

var _ = Describe("the owner of a forwarded request", func() {
	// The owner's process was replaced by another at the same address. Its jobs may have
	// run, so the successor must neither start them nor report "not run".
	It("is reported gone by its successor and by another entry", func() {
		former, other := startEntry(GinkgoT()), startEntry(GinkgoT())
		token := tokenOf(former.Addr())
		Expect(former.Stop(context.Background())).To(Succeed())
		id := newID(token, time.Minute, "job")
		undecided := call(http.MethodPost, other.Addr(), "/v1/jobs", submission(id, "p"))
		Expect(undecided).To(haveFailure(fault.Undecided, false))
		Expect(undecided.State).To(BeEmpty())
		Expect(undecided.header.Get("Retry-After")).To(Equal("1"))

		successor := startEntry(GinkgoT(), func(o *entry.Options) { o.Listen = former.Addr() })
		agent := startAgent(GinkgoT(), successor.Addr())
		for _, addr := range []string{other.Addr(), successor.Addr()} {
			gone := call(http.MethodPost, addr, "/v1/jobs", submission(id, "p"))
			Expect(gone).To(haveFailure(fault.OwnerGone, false))
			Expect(gone.State).To(Equal(job.Failed))
			Expect(call(http.MethodGet, addr, "/v1/jobs/"+id, nil)).To(haveFailure(fault.OwnerGone, false))
			Expect(call(http.MethodDelete, addr, "/v1/jobs/"+id, nil)).To(haveFailure(fault.OwnerGone, false))
			batch := call(http.MethodPost, addr, "/v1/cancel", map[string]any{"ids": []string{id}}).raw
			Expect(batch).To(ContainSubstring(`"owner_gone"`))
		}
		Expect(agent.startCounts()).To(BeEmpty())
	})

	// Guards against the loss of results that reach the forwarding entry past the deadline.
	It("may give a complete answer past the deadline", func() {
		e := startEntry(GinkgoT())
		owner := startSlowOwner(200*time.Millisecond, alwaysComplete)
		late := call(http.MethodPost, e.Addr(), "/v1/jobs", submission(newID(owner.token, 100*time.Millisecond, "late"), "p"))
		Expect(late.State).To(Equal(job.Complete))
		early := call(http.MethodPost, e.Addr(), "/v1/jobs", submission(newID(owner.token, time.Minute, "early"), "p"))
		Expect(early.State).To(Equal(job.Complete))
	})

	// Guards against "complete" after another entry may have reported the outcome as unknown.
	It("is asked again if its complete answer arrives past the grace period", func() {
		e := startEntry(GinkgoT())
		owner := startSlowOwner(200*time.Millisecond, func(h http.Header) (int, string) {
			if h.Get(forward.HeaderWithheld) != "" {
				return http.StatusBadGateway, `{"state":"failed","failure":{"code":302,"name":"outcome_unknown"}}`
			}
			return alwaysComplete(h)
		})
		almost := 100*time.Millisecond - job.AnswerGrace
		late := call(http.MethodPost, e.Addr(), "/v1/jobs", submission(newID(owner.token, almost, "late"), "p"))
		Expect(late.State).To(Equal(job.Failed))
		Expect(late.Failure.Code).To(Equal(fault.OutcomeUnknown))
	})

	// Guards against "complete" past the grace period where the owner's clock is behind.
	It("leads to \"undecided\" while it gives complete answers past the grace period", func() {
		e := startEntry(GinkgoT())
		owner := startSlowOwner(0, alwaysComplete)
		late := call(http.MethodPost, e.Addr(), "/v1/jobs", submission(newID(owner.token, -job.AnswerGrace, "late"), "p"))
		Expect(late).To(haveFailure(fault.Undecided, false))
	})

	// Two entries are configured with each other's address, or an address moved. A request
	// that they forwarded to each other in a loop would overload both.
	It("is not called for a request that was already forwarded", func() {
		first, second := startEntry(GinkgoT()), startEntry(GinkgoT())
		agent := startAgent(GinkgoT(), first.Addr())
		id := newID(tokenOf(first.Addr()), time.Minute, "job")
		r := call(http.MethodPost, second.Addr(), "/v1/jobs", submission(id, "p"), forward.HeaderForwarded, "1")
		Expect(r).To(haveFailure(fault.Undecided, false))
		Expect(agent.startCounts()).To(BeEmpty())
	})

	// Entries of two versions run side by side during an upgrade. The owner may be able to
	// decode a body that the older entry can't, and may have started it already.
	It("decides about a body that another entry can't decode", func() {
		first, second := startEntry(GinkgoT()), startEntry(GinkgoT())
		id := newID(tokenOf(first.Addr()), time.Minute, "job")
		r := call(http.MethodPost, second.Addr(), "/v1/jobs", []byte(`{"id":"`+id+`","of_a_later_version":1}`))
		Expect(r).To(haveFailure(fault.BadBody, true))
		metrics := call(http.MethodGet, second.Addr(), "/metrics", nil).raw
		Expect(metrics).To(ContainSubstring(`"forward.requests":{"count":1}`))
	})
})

var _ = Describe("draining", func() {
	// An operator replaces the entry's host. All its callers must get their answers, also
	// those that poll and have no request open when the last task ends.
	It("rejects new work, finishes accepted work, waits for its callers and then ends", func() {
		e, other := startEntry(GinkgoT()), startEntry(GinkgoT())
		agent := startAgent(GinkgoT(), e.Addr())
		agent.setHold(true)
		token := tokenOf(e.Addr())
		waiting, polling := newID(token, time.Minute, "waiting"), newID(token, time.Minute, "polling")
		replies := make(chan reply, 1)
		go func() {
			defer GinkgoRecover()
			replies <- call(http.MethodPost, e.Addr(), "/v1/jobs", submission(waiting, "p"))
		}()
		Expect(call(http.MethodPost, other.Addr(), "/v1/jobs?wait_ms=0", submission(polling, "p")).State).To(Equal(job.Pending))
		Eventually(agent.startCounts).Should(HaveLen(2))

		Expect(call(http.MethodGet, e.Addr(), "/healthz", nil).status).To(Equal(http.StatusOK))
		Expect(call(http.MethodPost, e.Addr(), "/v1/drain", nil).status).To(Equal(http.StatusAccepted))
		Expect(call(http.MethodGet, e.Addr(), "/healthz", nil)).To(haveFailure(fault.Draining, true))
		Expect(call(http.MethodGet, e.Addr(), "/v1/token", nil)).To(haveFailure(fault.Draining, true))
		Eventually(func() reply {
			return call(http.MethodPost, other.Addr(), "/v1/jobs", submission(newID(token, time.Minute, "late"), "p"))
		}).Should(haveFailure(fault.Draining, true))
		Expect(call(http.MethodPost, e.Addr(), "/v1/jobs?wait_ms=0", submission(polling, "p")).State).To(Equal(job.Pending))

		agent.setHold(false)
		var r reply
		Eventually(replies).Should(Receive(&r))
		Expect(r.State).To(Equal(job.Complete))
		Consistently(e.Done(), "100ms").ShouldNot(BeClosed())
		Expect(call(http.MethodGet, other.Addr(), "/v1/jobs/"+polling, nil).State).To(Equal(job.Complete))
		Eventually(e.Done(), "5s").Should(BeClosed())
		Expect(e.Stop(context.Background())).To(Succeed())
	})

	// The only work left is a long task whose caller waits on an open connection. An entry
	// that shut its server down before the task ended would cut the caller off without an
	// answer, a few seconds after the operator asked for a graceful shutdown.
	It("does not cut off a request in progress, however long its task takes", func() {
		e := startEntry(GinkgoT())
		agent := startAgent(GinkgoT(), e.Addr())
		agent.setHold(true)
		id := newID(tokenOf(e.Addr()), time.Minute, "long")
		replies := make(chan reply, 1)
		go func() {
			defer GinkgoRecover()
			replies <- call(http.MethodPost, e.Addr(), "/v1/jobs", submission(id, "p"))
		}()
		Eventually(agent.startCounts).Should(HaveLen(1))
		Expect(call(http.MethodPost, e.Addr(), "/v1/drain", nil).status).To(Equal(http.StatusAccepted))
		Consistently(e.Done(), "2500ms").ShouldNot(BeClosed()) // longer than closing idle connections takes
		agent.setHold(false)
		var r reply
		Eventually(replies).Should(Receive(&r))
		Expect(r.State).To(Equal(job.Complete))
		Eventually(e.Done(), "5s").Should(BeClosed())
	})

	// Guards against a drain that cuts off requests that another entry will answer.
	It("does not cut off a request that it forwards", func() {
		e := startEntry(GinkgoT())
		calls := 0
		owner := startSlowOwner(400*time.Millisecond, func(h http.Header) (int, string) {
			if calls++; calls < 7 {
				return http.StatusAccepted, `{"state":"pending"}`
			}
			return alwaysComplete(h)
		})
		replies := make(chan reply, 1)
		go func() {
			defer GinkgoRecover()
			replies <- call(http.MethodPost, e.Addr(), "/v1/jobs", submission(newID(owner.token, time.Minute, "job"), "p"))
		}()
		Eventually(func() string { return call(http.MethodGet, e.Addr(), "/metrics", nil).raw }).
			Should(ContainSubstring(`"forward.requests":{"count":1}`))
		Expect(e.Stop(context.Background())).To(Succeed())
		var r reply
		Eventually(replies).Should(Receive(&r))
		Expect(r.State).To(Equal(job.Complete))
	})

	// A caller's client keeps a connection open that never carried a request. Guards against
	// a drain that has finished all work, waits for that connection and fails.
	It("does not wait for connections that were never used", func() {
		e := startEntry(GinkgoT())
		unusedConn, err := net.Dial("tcp", e.Addr())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = unusedConn.Close() }()
		Expect(call(http.MethodGet, e.Addr(), "/healthz", nil).status).To(Equal(http.StatusOK))
		Expect(e.Stop(context.Background())).To(Succeed())
	})

	It("returns an error when the drain timeout expires first", func() {
		e := startEntry(GinkgoT(), func(o *entry.Options) { o.DrainTimeout = 50 * time.Millisecond })
		id := newID(tokenOf(e.Addr()), time.Minute, "job")
		call(http.MethodPost, e.Addr(), "/v1/jobs?wait_ms=0", submission(id, "p"))
		Expect(e.Stop(context.Background())).To(MatchError(entry.ErrDrainTimeout))
	})
})

var _ = Describe("an agent's connection", func() {
	// An agent of another build, or another program, connects. Its connection must be closed
	// without an effect on the process or on other agents.
	DescribeTable("is closed when the hello is missing or invalid", func(f *wire.ToEntry) {
		e := startEntry(GinkgoT())
		agent := startAgent(GinkgoT(), e.Addr())
		conn, err := session.Dial(context.Background(), e.Addr(), session.Options{})
		Expect(err).NotTo(HaveOccurred())
		conn.Send(f)
		ended := make(chan error, 1)
		go func() { ended <- conn.Serve(func(*wire.ToAgent) error { return nil }) }()
		Eventually(ended, "5s").Should(Receive())
		Expect(agent.conn.Err()).NotTo(HaveOccurred())
		id := newID(tokenOf(e.Addr()), time.Minute, "job")
		Expect(call(http.MethodPost, e.Addr(), "/v1/jobs", submission(id, "p")).State).To(Equal(job.Complete))
	},
		Entry("without hello", &wire.ToEntry{Credits: &wire.Credits{Total: 1}}),
		Entry("of another version", &wire.ToEntry{Hello: &wire.Hello{Version: 99, Incarnation: 1, Worker: "w"}}),
		Entry("without an incarnation", &wire.ToEntry{Hello: &wire.Hello{Version: wire.Version, Worker: "w"}}),
	)
})

var _ = Describe("the operators' endpoints", func() {
	It("show status, targets and metrics as JSON", func() {
		e := startEntry(GinkgoT(), func(o *entry.Options) { o.DataCentre = "khangai-1" })
		startAgent(GinkgoT(), e.Addr())
		Eventually(func() string { return call(http.MethodGet, e.Addr(), "/v1/targets", nil).raw }).
			Should(ContainSubstring(`"target":"target","worker":"worker`))
		Expect(call(http.MethodGet, e.Addr(), "/v1/status", nil).raw).To(ContainSubstring(`"data_centre":"khangai-1"`))
		call(http.MethodPost, e.Addr(), "/v1/jobs", []byte("{"))
		metrics := call(http.MethodGet, e.Addr(), "/metrics", nil).raw
		Expect(metrics).To(And(ContainSubstring(`"faults.bad_body":{"count":1}`), ContainSubstring(`"owner.agents":{"value":1}`), ContainSubstring(`"sessions.frames_in"`)))
		Expect(bytes.Contains([]byte(metrics), []byte(testKey))).To(BeFalse())
	})
})

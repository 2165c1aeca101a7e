package owner_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/config"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/owner"
	"github.com/camphorrack/camphorrack/internal/wire"
)

func TestOwner(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "owner")
}

// startCounter is an Outbox that counts the starts sent to agents.
type startCounter struct{ n int }

func (s *startCounter) Send(_ owner.ConnID, f *wire.ToAgent) { s.n += len(f.Starts) }
func (s *startCounter) Close(owner.ConnID)                   {}

var _ = Describe("a configuration", func() {
	now := time.Unix(1_000_000, 0)
	key := job.Key("a key that only this test knows")
	var sent *startCounter
	var core *owner.Core
	var self job.Owner

	BeforeEach(func() {
		sent = &startCounter{}
		self = job.Owner{Incarnation: 7, Addr: netip.MustParseAddrPort("127.0.0.1:1")}
		core = owner.New(owner.Options{Owner: self, Outbox: sent, Log: logr.Discard()})
		core.Tick(now)
		core.Connect(now, 1, &wire.Hello{Version: wire.Version, Incarnation: 9, Worker: "w1", DataCentre: "dc1", Rack: "r1",
			Target: wire.Target{Name: "t1", Slots: 8, Speed: 1}})
		Expect(core.Receive(now, 1, &wire.ToEntry{Credits: &wire.Credits{Total: 8, Owners: 1}})).To(Succeed())
	})

	configure := func(c *config.Change) {
		c.ID, c.Author = "c", "ops"
		state, err := (&config.State{}).Apply(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Validate(&config.State{})).To(Succeed())
		core.Configure(now, &config.Applied{State: state, Settings: state.Resolve(config.Location{DataCentre: "dc1", Entry: "e1"})})
	}
	submit := func(unique string, in time.Duration, tasks int) error {
		id, err := job.NewID(self.Token(key), now.Add(in), unique, key)
		Expect(err).NotTo(HaveOccurred())
		s := &job.Submission{ID: id, Team: "a", Class: "x", Tasks: make([]job.Task, tasks)}
		_, err = core.Submit(now, s, func(job.Answer) {})
		core.Tick(now)
		core.Flush()
		return err
	}
	drain := func(kind config.ScopeKind, name string) *config.Change {
		return &config.Change{Add: []config.Exception{{Kind: kind, Name: name, Key: "drain", Value: 1, Reason: "works", Author: "ops"}}}
	}

	// An operator drains a target, its rack or its data centre before work on the power
	// lines. Tasks that the owner still sent to it would be aborted.
	DescribeTable("sends no tasks to a drained target until the drain is lifted",
		func(kind config.ScopeKind, name string) {
			configure(drain(kind, name))
			Expect(submit("one", 30*time.Second, 1)).To(Succeed())
			Expect(sent.n).To(BeZero())
			configure(&config.Change{Remove: []config.Place{{Kind: kind, Name: name, Key: "drain"}}})
			core.Flush()
			Expect(sent.n).To(Equal(1))
		},
		Entry("target", config.ScopeTarget, "t1"),
		Entry("rack", config.ScopeRack, "r1"),
		Entry("data centre", config.ScopeDataCentre, "dc1"),
	)

	It("does not drain a target by another name", func() {
		configure(drain(config.ScopeTarget, "t2"))
		Expect(submit("one", 30*time.Second, 1)).To(Succeed())
		Expect(sent.n).To(Equal(1))
	})

	It("limits a team to its quota and other teams to the default", func() {
		configure(&config.Change{Set: []config.Setting{{Key: "quota.team.a", Value: 3}, {Key: "quota.default", Value: 1}}})
		Expect(submit("many", 30*time.Second, 8)).To(Succeed())
		Expect(sent.n).To(Equal(3))
		configure(&config.Change{Set: []config.Setting{{Key: "quota.default", Value: 5}}})
		core.Flush()
		Expect(sent.n).To(Equal(5))
	})

	It("sets the limits of the deadline and of the number of ids", func() {
		Expect(submit("far", 5*time.Minute, 1)).To(Succeed())
		configure(&config.Change{Set: []config.Setting{{Key: "deadline.max_ms", Value: 60_000}, {Key: "admission.max_jobs", Value: 1}}})
		Expect(submit("farther", 5*time.Minute, 1)).To(MatchError(fault.New(fault.DeadlineTooFar, "")))
		Expect(submit("one-more", 30*time.Second, 1)).To(MatchError(fault.New(fault.TooManyJobs, "")))
	})
})

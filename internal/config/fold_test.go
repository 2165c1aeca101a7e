package config_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/config"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/platformlog/logfake"
)

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "configuration")
}

// readOnce is a wait that lets a publisher look for its change exactly once.
const readOnce = time.Nanosecond

func setQuota(base uint64, team string, limit int64) *config.Change {
	return &config.Change{Base: base, Author: "ops", Reason: "test",
		Set: []config.Setting{{Key: config.Key(config.QuotaPrefix + team), Value: limit}}}
}

func appendRecord(log *logfake.Log, r *config.Record) uint64 {
	data, err := config.EncodeRecord(r)
	Expect(err).NotTo(HaveOccurred())
	offset, err := log.Append(context.Background(), config.Stream, data)
	Expect(err).NotTo(HaveOccurred())
	return offset
}

func codeOf(err error) fault.Code {
	var f *fault.Fault
	ExpectWithOffset(1, errors.As(err, &f)).To(BeTrue(), "%v", err)
	return f.Code
}

var _ = Describe("the fold", func() {
	var log *logfake.Log
	var ops *config.Publisher
	ctx := context.Background()

	BeforeEach(func() {
		log = logfake.New()
		ops = config.NewPublisher(log, readOnce)
	})

	publish := func(c *config.Change) *config.State {
		s, err := ops.Publish(ctx, c)
		ExpectWithOffset(1, err).NotTo(HaveOccurred())
		return s
	}

	// Retention drops an accepted change that a paused reader has not seen, and a
	// snapshot that was taken before that change lands after it. A reader that took
	// the snapshot for current would go back, and then accept a change that is void
	// for everyone else.
	It("does not follow a snapshot across records it has not seen", func() {
		first := publish(setQuota(0, "a", 1))
		second := publish(setQuota(first.Version, "a", 2))
		appendRecord(log, &config.Record{Snapshot: first})
		appendRecord(log, &config.Record{Change: &config.Change{ID: "late", Base: first.Version, Author: "x",
			Set: []config.Setting{{Key: "quota.team.a", Value: 9}}}})
		log.Truncate(config.Stream, second.Version) // keeps the old snapshot and the late change only

		late := config.NewFold(&config.State{})
		_, err := config.ReadToEnd(ctx, log, late)
		Expect(err).NotTo(HaveOccurred())
		Expect(late.Contiguous()).To(BeFalse())
		Expect(late.State().Version).To(BeZero())

		appendRecord(log, &config.Record{Snapshot: func() *config.State {
			f := config.NewFold(second)
			_, err := config.ReadToEnd(ctx, log, f)
			Expect(err).NotTo(HaveOccurred())
			return f.State()
		}()})
		_, err = config.ReadToEnd(ctx, log, late)
		Expect(err).NotTo(HaveOccurred())
		Expect(late.Contiguous()).To(BeTrue())
		Expect(late.State().Version).To(Equal(second.Version))
	})

	// A snapshot was on its way while a change was accepted, and lands after it. A
	// reader that starts at the snapshot and goes on behind it would miss the change
	// and keep the old limit for good.
	It("takes the changes between a snapshot's position and its place", func() {
		first := publish(setQuota(0, "a", 1))
		second := publish(setQuota(first.Version, "a", 2))
		appendRecord(log, &config.Record{Snapshot: first})
		log.Truncate(config.Stream, first.Version)
		late := config.NewFold(&config.State{})
		_, err := config.ReadToEnd(ctx, log, late)
		Expect(err).NotTo(HaveOccurred())
		Expect(late.State().Version).To(Equal(second.Version))
	})

	// An operator asks what became of a change only after retention has dropped the
	// state it was based on, and a snapshot lies behind it. Told wrongly that it was
	// void, the operator would make it again over a colleague's later change.
	It("tells what became of a change that lies before the first snapshot kept", func() {
		first := publish(setQuota(0, "a", 1))
		appendRecord(log, &config.Record{Change: &config.Change{ID: "stale", Author: "x", Unset: []config.Key{"quota.team.a"}}})
		mine := publish(setQuota(first.Version, "a", 2))
		appendRecord(log, &config.Record{Change: &config.Change{ID: "void", Base: first.Version, Author: "x", Unset: []config.Key{"quota.team.a"}}})
		last := publish(setQuota(mine.Version, "a", 3))
		appendRecord(log, &config.Record{Snapshot: last})
		log.Truncate(config.Stream, first.Version)

		r, err := ops.Resolve(ctx, mine.ChangeID, first.Version)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Version).To(Equal(mine.Version))
		_, err = ops.Resolve(ctx, "void", first.Version)
		Expect(codeOf(err)).To(Equal(fault.ConfigConflict))
		log.Truncate(config.Stream, mine.Version)
		_, err = ops.Resolve(ctx, mine.ChangeID, first.Version)
		Expect(codeOf(err)).To(Equal(fault.ConfigUndecided), "too little is kept to tell")
	})

	// Two programs of different age run side by side during a roll-out and an
	// operator sets a key that only the newer one knows. If the older one held the
	// change void, the two halves of the fleet would part for good.
	It("carries on keys and values it does not know", func() {
		appendRecord(log, &config.Record{Change: &config.Change{ID: "new", Author: "x", Set: []config.Setting{
			{Key: "future.key", Value: 7}, {Key: "policy.caution_percent", Value: 1 << 40}}}})
		f := config.NewFold(&config.State{})
		_, err := config.ReadToEnd(ctx, log, f)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.State().Version).To(BeEquivalentTo(1))
		Expect(f.State().Resolve(config.Location{}).OvertakeFactorPercent).To(BeEquivalentTo(1000))
		value, known := f.State().Value("future.key")
		Expect(known).To(BeTrue())
		Expect(value).To(BeEquivalentTo(7))
	})

	// The log was out for longer than it keeps records, and the newest of them was
	// read by no process that still lives. Nobody can tell what is in force, and an
	// operator decides by hand. The same decision written twice, or late, must not
	// undo a change that came after it.
	It("restarts by an operator's hand, once", func() {
		publish(setQuota(0, "a", 1))
		_, end := log.Bounds(config.Stream)
		log.Truncate(config.Stream, end)
		_, _, err := ops.Load(ctx)
		Expect(codeOf(err)).To(Equal(fault.ConfigNotTaken))

		kept := &config.State{Settings: []config.Setting{{Key: "quota.team.a", Value: 5}}}
		restarted, err := ops.Restart(ctx, kept, "ops", "the log lost its records")
		Expect(err).NotTo(HaveOccurred())
		changed := publish(setQuota(restarted.Version, "a", 6))
		appendRecord(log, &config.Record{Restart: &config.Restart{ID: "again", State: kept, End: end, Author: "ops", Reason: "again"}})

		for _, reader := range []*config.Fold{config.NewFold(&config.State{}), config.NewFold(restarted)} {
			_, err = config.ReadToEnd(ctx, log, reader)
			Expect(err).NotTo(HaveOccurred())
			Expect(reader.State().Version).To(Equal(changed.Version))
		}
		_, err = ops.Restart(ctx, kept, "ops", "not needed")
		Expect(codeOf(err)).To(Equal(fault.ConfigInvalid))
	})

	It("refuses an exception without a reason, a key it does not know and a value out of range", func() {
		for _, c := range []*config.Change{
			{Add: []config.Exception{{Kind: config.ScopeTarget, Name: "t1", Key: "drain", Value: 1, Author: "ops", Reason: " "}}},
			{Add: []config.Exception{{Kind: config.ScopeTarget, Name: "t1", Key: "quota.default", Value: 1, Author: "ops", Reason: "why"}}},
			{Set: []config.Setting{{Key: "no.such", Value: 1}}},
			{Set: []config.Setting{{Key: "policy.caution_percent", Value: 10}}},
			{},
		} {
			c.Author = "ops"
			_, err := ops.Publish(ctx, c)
			Expect(codeOf(err)).To(Equal(fault.ConfigInvalid))
		}
		Expect(log.AppendCount()).To(BeZero())
	})

	It("lays the narrowest exception over the defaults", func() {
		publish(&config.Change{Author: "ops", Set: []config.Setting{{Key: "admission.max_jobs", Value: 30}, {Key: "quota.default", Value: 5}, {Key: "quota.team.b", Value: 8}},
			Add: []config.Exception{
				{Kind: config.ScopeDataCentre, Name: "dc2", Key: "drain", Value: 1, Author: "ops", Reason: "power work"},
				{Kind: config.ScopeTarget, Name: "t1", Key: "drain", Value: 0, Author: "ops", Reason: "has its own power"},
				{Kind: config.ScopeDataCentre, Name: "dc2", Key: "admission.max_jobs", Value: 40, Author: "ops", Reason: "small hosts"},
				{Kind: config.ScopeEntry, Name: "e1", Key: "admission.max_jobs", Value: 50, Author: "ops", Reason: "large host"}}})
		f, _, err := ops.Load(ctx)
		Expect(err).NotTo(HaveOccurred())
		t1 := f.State().Resolve(config.Location{DataCentre: "dc2", Target: "t1", Entry: "e1"})
		t2 := f.State().Resolve(config.Location{DataCentre: "dc2", Target: "t2"})
		Expect([]bool{t1.Drain, t2.Drain}).To(Equal([]bool{false, true}))
		Expect([]int64{t1.MaxJobs, t2.MaxJobs}).To(Equal([]int64{50, 40}))
		Expect([]int64{t1.Quota("b"), t1.Quota("c")}).To(Equal([]int64{8, 5}))
	})
})

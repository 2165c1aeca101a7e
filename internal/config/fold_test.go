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

// readOnce is a read-back timeout with which a publisher reads the log exactly once.
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
	var publisher *config.Publisher
	ctx := context.Background()

	BeforeEach(func() {
		log = logfake.New()
		publisher = config.NewPublisher(log, readOnce)
	})

	publish := func(c *config.Change) *config.State {
		s, err := publisher.Publish(ctx, c)
		ExpectWithOffset(1, err).NotTo(HaveOccurred())
		return s
	}

	// Retention drops an accepted change that a paused reader has not read, and a
	// snapshot from before that change is written after it. A reader that relied on the
	// snapshot would accept a change that is void on every other process.
	It("does not use a snapshot from before a dropped change", func() {
		first := publish(setQuota(0, "a", 1))
		second := publish(setQuota(first.Version, "a", 2))
		appendRecord(log, &config.Record{Snapshot: first})
		appendRecord(log, &config.Record{Change: &config.Change{ID: "late", Base: first.Version, Author: "x",
			Set: []config.Setting{{Key: "quota.team.a", Value: 9}}}})
		log.Truncate(config.Stream, second.Version) // keeps only the old snapshot and the delayed change

		delayed := config.NewFold(&config.State{})
		_, err := config.ReadToEnd(ctx, log, delayed)
		Expect(err).NotTo(HaveOccurred())
		Expect(delayed.Contiguous()).To(BeFalse())
		Expect(delayed.State().Version).To(BeZero())

		appendRecord(log, &config.Record{Snapshot: func() *config.State {
			f := config.NewFold(second)
			_, err := config.ReadToEnd(ctx, log, f)
			Expect(err).NotTo(HaveOccurred())
			return f.State()
		}()})
		_, err = config.ReadToEnd(ctx, log, delayed)
		Expect(err).NotTo(HaveOccurred())
		Expect(delayed.Contiguous()).To(BeTrue())
		Expect(delayed.State().Version).To(Equal(second.Version))
	})

	// A change is accepted while a snapshot is being written, so that the snapshot follows
	// it in the log. A reader that starts at the snapshot and continues behind it would
	// miss the change and keep the old limit permanently.
	It("applies the changes between a snapshot's position and its offset", func() {
		first := publish(setQuota(0, "a", 1))
		second := publish(setQuota(first.Version, "a", 2))
		appendRecord(log, &config.Record{Snapshot: first})
		log.Truncate(config.Stream, first.Version)
		delayed := config.NewFold(&config.State{})
		_, err := config.ReadToEnd(ctx, log, delayed)
		Expect(err).NotTo(HaveOccurred())
		Expect(delayed.State().Version).To(Equal(second.Version))
	})

	// An operator resolves a change after retention has dropped the state that it was
	// based on, so that the first snapshot follows the change. If it were reported as void,
	// the operator would repeat it and overwrite a colleague's later change.
	It("resolves a change that precedes the first snapshot kept", func() {
		first := publish(setQuota(0, "a", 1))
		appendRecord(log, &config.Record{Change: &config.Change{ID: "stale", Author: "x", Unset: []config.Key{"quota.team.a"}}})
		mine := publish(setQuota(first.Version, "a", 2))
		appendRecord(log, &config.Record{Change: &config.Change{ID: "void", Base: first.Version, Author: "x", Unset: []config.Key{"quota.team.a"}}})
		last := publish(setQuota(mine.Version, "a", 3))
		appendRecord(log, &config.Record{Snapshot: last})
		log.Truncate(config.Stream, first.Version)

		r, err := publisher.Resolve(ctx, mine.ChangeID, first.Version)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Version).To(Equal(mine.Version))
		_, err = publisher.Resolve(ctx, "void", first.Version)
		Expect(codeOf(err)).To(Equal(fault.ConfigConflict))
		log.Truncate(config.Stream, mine.Version)
		_, err = publisher.Resolve(ctx, mine.ChangeID, first.Version)
		Expect(codeOf(err)).To(Equal(fault.ConfigUndecided), "the log no longer keeps enough records")
	})

	// During a roll-out, programs of two releases run at the same time, and an operator
	// sets a key that only the newer one knows. If the change were void on the older one,
	// the fleet would diverge permanently.
	It("keeps unknown keys and values", func() {
		appendRecord(log, &config.Record{Change: &config.Change{ID: "new", Author: "x", Set: []config.Setting{
			{Key: "future.key", Value: 7}, {Key: "policy.caution_percent", Value: 1 << 40}}}})
		f := config.NewFold(&config.State{})
		_, err := config.ReadToEnd(ctx, log, f)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.State().Version).To(BeEquivalentTo(1))
		Expect(f.State().Resolve(config.Location{}).OvertakeFactorPercent).To(BeEquivalentTo(1000))
		value, found := f.State().Value("future.key")
		Expect(found).To(BeTrue())
		Expect(value).To(BeEquivalentTo(7))
	})

	// The log was unavailable for longer than it keeps records, and no running process
	// has read the newest of them. The state in force is unknown, and an operator restarts
	// the configuration. A restart that is written twice or late must not revert a change
	// that was made after it.
	It("applies an operator's restart only once", func() {
		publish(setQuota(0, "a", 1))
		_, end := log.Bounds(config.Stream)
		log.Truncate(config.Stream, end)
		_, _, err := publisher.Load(ctx)
		Expect(codeOf(err)).To(Equal(fault.ConfigNotTaken))

		kept := &config.State{Settings: []config.Setting{{Key: "quota.team.a", Value: 5}}}
		restarted, err := publisher.Restart(ctx, kept, "ops", "the log lost its records")
		Expect(err).NotTo(HaveOccurred())
		changed := publish(setQuota(restarted.Version, "a", 6))
		appendRecord(log, &config.Record{Restart: &config.Restart{ID: "again", State: kept, End: end, Author: "ops", Reason: "again"}})

		for _, reader := range []*config.Fold{config.NewFold(&config.State{}), config.NewFold(restarted)} {
			_, err = config.ReadToEnd(ctx, log, reader)
			Expect(err).NotTo(HaveOccurred())
			Expect(reader.State().Version).To(Equal(changed.Version))
		}
		_, err = publisher.Restart(ctx, kept, "ops", "not needed")
		Expect(codeOf(err)).To(Equal(fault.ConfigInvalid))
	})

	It("rejects an exception without a reason, an unknown key and a value out of range", func() {
		for _, c := range []*config.Change{
			{Add: []config.Exception{{Kind: config.ScopeTarget, Name: "t1", Key: "drain", Value: 1, Author: "ops", Reason: " "}}},
			{Add: []config.Exception{{Kind: config.ScopeTarget, Name: "t1", Key: "quota.default", Value: 1, Author: "ops", Reason: "why"}}},
			{Set: []config.Setting{{Key: "no.such", Value: 1}}},
			{Set: []config.Setting{{Key: "policy.caution_percent", Value: 10}}},
			{},
		} {
			c.Author = "ops"
			_, err := publisher.Publish(ctx, c)
			Expect(codeOf(err)).To(Equal(fault.ConfigInvalid))
		}
		Expect(log.AppendCount()).To(BeZero())
	})

	It("gives precedence to the exception of the narrowest scope", func() {
		publish(&config.Change{Author: "ops", Set: []config.Setting{{Key: "admission.max_jobs", Value: 30}, {Key: "quota.default", Value: 5}, {Key: "quota.team.b", Value: 8}},
			Add: []config.Exception{
				{Kind: config.ScopeDataCentre, Name: "dc2", Key: "drain", Value: 1, Author: "ops", Reason: "power work"},
				{Kind: config.ScopeTarget, Name: "t1", Key: "drain", Value: 0, Author: "ops", Reason: "has its own power"},
				{Kind: config.ScopeDataCentre, Name: "dc2", Key: "admission.max_jobs", Value: 40, Author: "ops", Reason: "small hosts"},
				{Kind: config.ScopeEntry, Name: "e1", Key: "admission.max_jobs", Value: 50, Author: "ops", Reason: "large host"}}})
		f, _, err := publisher.Load(ctx)
		Expect(err).NotTo(HaveOccurred())
		t1 := f.State().Resolve(config.Location{DataCentre: "dc2", Target: "t1", Entry: "e1"})
		t2 := f.State().Resolve(config.Location{DataCentre: "dc2", Target: "t2"})
		Expect([]bool{t1.Drain, t2.Drain}).To(Equal([]bool{false, true}))
		Expect([]int64{t1.MaxJobs, t2.MaxJobs}).To(Equal([]int64{50, 40}))
		Expect([]int64{t1.Quota("b"), t1.Quota("c")}).To(Equal([]int64{8, 5}))
	})
})

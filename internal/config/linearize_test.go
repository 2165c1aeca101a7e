package config_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/config"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/platformlog/logfake"
)

// call is an operator's call: a get, or a set of the quota on a base version.
type call struct {
	set   bool
	base  uint64
	value int64
}

// result is the outcome of a call.
type result struct {
	version   uint64 // set: version it produced; get: version in force
	value     int64  // get
	undecided bool   // undecided: whether it took effect is determined from the log
	conflict  bool   // conflict: the set never takes effect
}

// register is the model's state.
type register struct {
	version uint64
	value   int64
}

// compareAndSet models the guarantee for operators: a set takes effect atomically between
// its call and its return if its base is current at that time, and a get returns the
// newest set that has taken effect. Versions only increase.
var compareAndSet = porcupine.Model{
	Init: func() any { return register{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(register), input.(call), output.(result)
		current := in.base == s.version
		switch {
		case !in.set:
			return out.version == s.version && out.value == s.value, s
		case out.conflict, out.undecided && out.version == 0:
			return out.undecided || !current, s
		}
		return current && out.version > s.version, register{out.version, in.value}
	},
	Equal: func(a, b any) bool { return a == b },
}

// Operators make concurrent calls while replies of the log are lost. If a get returned an
// older version than one that was read before, or two sets on the same base were both
// accepted, scripts that read and then change the configuration would overwrite each
// other's changes.
func TestLinearizable(t *testing.T) {
	g := NewWithT(t)
	const operators, calls = 4, 25
	for seed := range uint64(8) {
		log := logfake.New()
		var mu sync.Mutex
		var events []porcupine.Operation
		var all sync.WaitGroup
		start := time.Now()
		for id := range operators {
			rng := rand.New(rand.NewPCG(seed, uint64(id)))
			all.Go(func() {
				publisher := config.NewPublisher(log, readOnce)
				for i := range calls {
					if rng.IntN(6) == 0 {
						log.SetFaults([]logfake.Faults{{}, {}, {LoseAnswers: true}, {ReadsUnavailable: true}}[rng.IntN(4)])
					}
					op, ok := readOrSet(publisher, int64(id*calls+i+1), rng.IntN(3) > 0, start)
					if !ok {
						continue
					}
					op.ClientId = id
					mu.Lock()
					events = append(events, op)
					mu.Unlock()
				}
			})
		}
		all.Wait()
		log.SetFaults(logfake.Faults{})
		resolveUndecided(g, log, events, start)
		g.Expect(porcupine.CheckOperations(compareAndSet, events)).To(BeTrue(), "seed %d", seed)
	}
}

// readOrSet makes one call. It returns false if the call had neither an effect nor a result.
func readOrSet(publisher *config.Publisher, value int64, set bool, start time.Time) (porcupine.Operation, bool) {
	op := porcupine.Operation{Call: time.Since(start).Nanoseconds()}
	fold, _, err := publisher.Load(context.Background())
	if err != nil {
		return op, false
	}
	s := fold.State()
	current, _ := s.Value("quota.team.a")
	if !set {
		op.Input, op.Output = call{}, result{version: s.Version, value: current}
		op.Return = time.Since(start).Nanoseconds()
		return op, true
	}
	op.Input = call{set: true, base: s.Version, value: value}
	produced, err := publisher.Publish(context.Background(), setQuota(s.Version, "a", value))
	op.Return = time.Since(start).Nanoseconds()
	if err == nil {
		op.Output = result{version: produced.Version}
		return op, true
	}
	switch faultCode(err) {
	case fault.ConfigConflict:
		op.Output = result{conflict: true}
	case fault.ConfigUndecided:
		op.Output = result{undecided: true}
	default:
		return op, false // nothing was appended
	}
	return op, true
}

func faultCode(err error) fault.Code {
	var f *fault.Fault
	if errors.As(err, &f) {
		return f.Code
	}
	return 0
}

// resolveUndecided extends undecided sets until now, as they may have taken effect at any
// time, and sets the versions that they produced.
func resolveUndecided(g Gomega, log *logfake.Log, events []porcupine.Operation, start time.Time) {
	_, results, err := config.NewPublisher(log, readOnce).Load(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	produced := map[int64]uint64{}
	for _, res := range results {
		if res.Outcome == config.Accepted {
			produced[res.Change.Set[0].Value] = res.State.Version
		}
	}
	for i := range events {
		if out := events[i].Output.(result); out.undecided {
			events[i].Return = time.Since(start).Nanoseconds()
			events[i].Output = result{undecided: true, version: produced[events[i].Input.(call).value]}
		}
	}
}

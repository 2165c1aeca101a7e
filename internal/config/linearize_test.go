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

// Calls of operators, as the linearizability checker sees them.
type call struct {
	set   bool
	base  uint64
	value int64
}

type result struct {
	version uint64 // set: the version it made; get: the one in force
	value   int64  // get
	unknown bool   // undecided: whether and when it took effect is found in the log
	refused bool   // conflict: it never takes effect
}

type register struct {
	version uint64
	value   int64
}

// compareAndSet is what operators are promised: a set takes effect at one moment
// between its call and its return if its base is current then, and a get sees the
// newest that did. Versions rise.
var compareAndSet = porcupine.Model{
	Init: func() any { return register{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(register), input.(call), output.(result)
		current := in.base == s.version
		switch {
		case !in.set:
			return out.version == s.version && out.value == s.value, s
		case out.refused, out.unknown && out.version == 0:
			return out.unknown || !current, s
		}
		return current && out.version > s.version, register{out.version, in.value}
	},
	Equal: func(a, b any) bool { return a == b },
}

// Operators work at the same time while answers get lost. If a get showed an older
// version than one that had been read before, or two sets on one base were both
// accepted, scripts that read and then change would undo each other's work.
func TestLinearizable(t *testing.T) {
	g := NewWithT(t)
	const operators, calls = 4, 25
	for seed := range uint64(8) {
		log := logfake.New()
		var mu sync.Mutex
		var events []porcupine.Operation
		var all sync.WaitGroup
		began := time.Now()
		for id := range operators {
			rng := rand.New(rand.NewPCG(seed, uint64(id)))
			all.Go(func() {
				ops := config.NewPublisher(log, readOnce)
				for i := range calls {
					if rng.IntN(6) == 0 {
						log.SetFaults([]logfake.Faults{{}, {}, {LoseAnswers: true}, {ReadsUnavailable: true}}[rng.IntN(4)])
					}
					op, ok := operate(ops, int64(id*calls+i+1), rng.IntN(3) > 0, began)
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
		settle(g, log, events, began)
		g.Expect(porcupine.CheckOperations(compareAndSet, events)).To(BeTrue(), "seed %d", seed)
	}
}

// operate makes one call and reports false where it had no effect and no answer.
func operate(ops *config.Publisher, value int64, set bool, began time.Time) (porcupine.Operation, bool) {
	op := porcupine.Operation{Call: time.Since(began).Nanoseconds()}
	fold, _, err := ops.Load(context.Background())
	if err != nil {
		return op, false
	}
	s := fold.State()
	current, _ := s.Value("quota.team.a")
	if !set {
		op.Input, op.Output = call{}, result{version: s.Version, value: current}
		op.Return = time.Since(began).Nanoseconds()
		return op, true
	}
	op.Input = call{set: true, base: s.Version, value: value}
	made, err := ops.Publish(context.Background(), setQuota(s.Version, "a", value))
	op.Return = time.Since(began).Nanoseconds()
	if err == nil {
		op.Output = result{version: made.Version}
		return op, true
	}
	switch faultCode(err) {
	case fault.ConfigConflict:
		op.Output = result{refused: true}
	case fault.ConfigUndecided:
		op.Output = result{unknown: true}
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

// settle lets undecided sets last until now, and finds the versions they made.
func settle(g Gomega, log *logfake.Log, events []porcupine.Operation, began time.Time) {
	_, verdicts, err := config.NewPublisher(log, readOnce).Load(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	made := map[int64]uint64{}
	for _, v := range verdicts {
		if v.Outcome == config.Accepted {
			made[v.Change.Set[0].Value] = v.State.Version
		}
	}
	for i := range events {
		if out := events[i].Output.(result); out.unknown {
			events[i].Return = time.Since(began).Nanoseconds()
			events[i].Output = result{unknown: true, version: made[events[i].Input.(call).value]}
		}
	}
}

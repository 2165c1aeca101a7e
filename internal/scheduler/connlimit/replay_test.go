package connlimit

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The replayed load: a crowd that arrives as fast as it can and then holds what it has, and callers
// that come all the while.
const (
	replayStep     = time.Millisecond
	replayDuration = 6 * time.Second
	replayLimit    = 8 << 20 // bytes
	crowdSize      = 1000
	crowdBody      = 64 << 10
	callerBody     = 3 << 10
	largeBody      = 200 << 10 // of one caller in largeShare
	largeShare     = 8
	callerTime     = 30 * time.Millisecond // from a caller's first byte to its last
	callerPause    = 600 * time.Millisecond
	callerInterval = 20 * time.Millisecond
	trickleSteps   = 20 // a trickling client sends a byte in one step of these
)

// body is a request body on its way, in the state that a rule may look at.
type body struct {
	caller               bool
	startedAt, lastAt    time.Time
	held                 int64
	size                 int64
	pauseFrom, pauseTill time.Time // of a caller whose packet was lost
	gone                 bool
}

// rule selects the bodies to give up for a newcomer, and may include the newcomer.
type rule func(now time.Time, bodies []*body, newcomer *body, excess int64) []*body

// evictBy gives up bodies in an order until the excess is gone.
func evictBy(less func(now time.Time, a, b *body) int) rule {
	return func(now time.Time, bodies []*body, _ *body, excess int64) (evicted []*body) {
		bodies = slices.Clone(bodies)
		slices.SortStableFunc(bodies, func(a, b *body) int { return less(now, a, b) })
		for _, b := range bodies {
			if excess <= 0 {
				break
			}
			evicted, excess = append(evicted, b), excess-b.held
		}
		return evicted
	}
}

var (
	refuseNewcomer rule = func(_ time.Time, _ []*body, newcomer *body, _ int64) []*body { return []*body{newcomer} }
	oldestProgress      = evictBy(func(_ time.Time, a, b *body) int { return a.lastAt.Compare(b.lastAt) })
	mostBytes           = evictBy(func(_ time.Time, a, b *body) int { return cmp.Compare(b.held, a.held) })
	noBound        rule = func(time.Time, []*body, *body, int64) []*body { return nil } // no bound at all
)

// outcome is what became of the callers, and the most bytes that were held.
type outcome struct {
	served, refused int
	peak            int64
}

// arrival returns how many bytes of a body arrive in a step. A member of the crowd stops one byte
// short; a trickling one sends its last half a byte at a time.
func (b *body) arrival(now time.Time, trickle bool) int64 {
	if b.caller {
		if now.After(b.pauseFrom) && now.Before(b.pauseTill) {
			return 0
		}
		return min(b.size-b.held, b.size*int64(replayStep)/int64(callerTime)+1)
	}
	switch left := b.size - 1 - b.held; {
	case trickle && b.held >= b.size/2:
		return min(left, int64(now.UnixMilli()+b.startedAt.UnixMilli())%trickleSteps/(trickleSteps-1))
	default:
		return min(left, 8<<10)
	}
}

// replay plays the load against hold, which is told of bytes that have arrived of a body, by the bytes that
// all hold then, and returns the bodies to give up.
func replay(trickle bool, hold func(now time.Time, bodies []*body, b *body, held int64) []*body, done func(*body)) outcome {
	rnd := rand.New(rand.NewPCG(1, 2))
	var o outcome
	var bodies []*body
	held := int64(0)
	nextCaller := start
	for now := start; now.Before(start.Add(replayDuration)); now = now.Add(replayStep) {
		for crowd := countCrowd(bodies); crowd < crowdSize && rnd.IntN(2) == 0; crowd++ { // those that were given up come again
			bodies = append(bodies, &body{startedAt: now, lastAt: now, size: crowdBody})
		}
		if !now.Before(nextCaller) {
			b := &body{caller: true, startedAt: now, lastAt: now, size: callerBody}
			if rnd.IntN(largeShare) == 0 {
				b.size = largeBody
			}
			if rnd.IntN(4) == 0 {
				b.pauseFrom, b.pauseTill = now.Add(callerTime/2), now.Add(callerPause)
			}
			bodies, nextCaller = append(bodies, b), now.Add(callerInterval)
		}
		for _, b := range bodies {
			n := b.arrival(now, trickle)
			if b.gone || n <= 0 {
				continue
			}
			b.held, b.lastAt, held = b.held+n, now, held+n
			for _, evicted := range hold(now, bodies, b, held) {
				evicted.gone, held = true, held-evicted.held
				if evicted.caller {
					o.refused++
				}
			}
			o.peak = max(o.peak, held)
			if b.caller && !b.gone && b.held == b.size {
				b.gone, held = true, held-b.held
				o.served++
				done(b)
			}
		}
		bodies = slices.DeleteFunc(bodies, func(b *body) bool { return b.gone })
	}
	return o
}

func countCrowd(bodies []*body) (n int) {
	for _, b := range bodies {
		if !b.caller {
			n++
		}
	}
	return n
}

// replayRule plays the load against a rule.
func replayRule(trickle bool, choose rule) outcome {
	return replay(trickle, func(now time.Time, bodies []*body, b *body, held int64) []*body {
		if held <= replayLimit {
			return nil
		}
		live := slices.DeleteFunc(slices.Clone(bodies), func(other *body) bool { return other.gone })
		return choose(now, live, b, held-replayLimit+replayLimit/evictionShare)
	}, func(*body) {})
}

// replayTable plays the load against a Table.
func replayTable(trickle bool) outcome {
	table := NewTable[*body](Limits{Bytes: replayLimit})
	return replay(trickle, func(now time.Time, _ []*body, b *body, held int64) []*body {
		if _, open := table.Phase(b); !open {
			table.Open(now, b)
			table.SetPhase(now, b, Receiving)
		}
		evicted, _ := table.Hold(now, b, held-table.Bytes())
		for _, e := range evicted {
			table.Close(e)
		}
		return evicted
	}, table.Close)
}

// Guards against a bound on memory that the callers pay for: with each of the other rules more of them
// are refused. A large body whose packet was lost can't be told from the crowd's.
func TestReplayOfACrowd(t *testing.T) {
	rules := map[string]rule{"refuse the newcomer": refuseNewcomer, "longest without progress": oldestProgress, "most bytes": mostBytes}
	for name, trickle := range map[string]bool{"stops short": false, "trickles": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			byTable := replayTable(trickle)
			t.Logf("table %+v", byTable)
			g.Expect(byTable.refused).To(BeNumerically("<", byTable.served/20))
			g.Expect(byTable.peak).To(BeNumerically("<=", replayLimit+8<<10))
			g.Expect(replayRule(trickle, noBound).peak).To(BeNumerically(">", 2*replayLimit))
			for name, choose := range rules {
				other := replayRule(trickle, choose)
				t.Logf("%s %+v", name, other)
				g.Expect(other.refused).To(BeNumerically(">", byTable.refused), name)
			}
		})
	}
}

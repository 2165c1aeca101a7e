// Package estimation learns how long tasks really take and how fast targets
// really are, from the run times that come back with the answers.
//
// The pattern of load: callers declare run times that are off by a factor of e
// or of 10, some classes always and some at random, and targets bought over many
// years run at other speeds than they declare. The order of the queue and the
// choice of the target both go by run times: believed as declared, a class that
// declares a tenth of its work always goes first and pushes the honest ones
// back, and a target that claims to be fast and is not collects the longest
// tasks.
//
// Why this works: for each class and each bucket of declared time it keeps the
// typical ratio of real to declared time, and for each agent the ratio of real
// to declared speed, both as moving means of logarithms. In logarithms an error
// by a factor weighs the same in both directions, and each step is clipped, so
// that no single wild value moves a ratio far. Buckets matter where errors are
// random: tasks declared very long are then shorter than declared on average,
// and those declared very short are longer, which one ratio for a class can't say.
package estimation

import "math"

const (
	// buckets of declared time, each a factor of two wide, from 1 ms up to
	// the longest declaration of an hour (2^22 ms). Bucket 0 is "not declared".
	buckets = 24
	// undeclaredMs stands in for a declaration that is missing, until the class
	// has been seen: the middle of what the users call most of their tasks.
	undeclaredMs = 300
	// memory is over how many results a ratio forgets: enough to average errors
	// by a factor of e down to a fifth, few enough that a target which turns
	// slow is known as slow within one or two rounds of its slots.
	memory = 16
	// maxStep clips the surprise of one result, as a logarithm: a factor of 16,
	// more than the factor of 10 by which whole classes are known to be off.
	maxStep = 2.772588722239781
	// speedPrior is how many results of doubt a new agent's ratio starts with,
	// so that an unlearned class is not taken for a slow target.
	speedPrior = 4
	// bucketPrior is how many results a bucket needs before its own ratio
	// weighs as much as that of its whole class.
	bucketPrior = 4
	// unknownSpread is the spread of a class not seen yet: declarations are off by
	// a factor of e in the usual case.
	unknownSpread = math.E
	// maxClasses bounds the memory; 140 teams with a few classes each fit. The
	// class not heard of for the longest time is forgotten beyond it.
	maxClasses = 1024
)

// mean is a moving mean of logarithms.
type mean struct {
	value float64
	count float64 // results so far, up to memory
}

func (m *mean) add(surprise, prior float64) {
	m.count = min(m.count+1, memory)
	surprise = max(-maxStep, min(maxStep, surprise))
	m.value += surprise / min(m.count+prior, memory)
}

type class struct {
	whole  mean
	bucket [buckets]mean
	// spread is the mean absolute surprise of an estimate, as a logarithm.
	spread mean
	used   uint64
}

// ratio returns the logarithm of real over declared time in bucket b.
func (c *class) ratio(b int) float64 {
	own := &c.bucket[b]
	return (own.value*own.count + c.whole.value*bucketPrior) / (own.count + bucketPrior)
}

// agentSpeed is the ratio of an agent's real to its declared speed.
type agentSpeed struct {
	mean
	factor float64 // the ratio itself: it is read far more often than it changes
}

// Estimator learns run times and speeds. It is not safe for concurrent use.
type Estimator struct {
	classes map[string]*class
	speeds  map[uint64]*agentSpeed
	clock   uint64 // counts results, to find the class unused for longest
}

// New returns an estimator that believes every declaration.
func New() *Estimator {
	return &Estimator{classes: map[string]*class{}, speeds: map[uint64]*agentSpeed{}}
}

// Observe learns from one finished task: declaredMs is the caller's declaration
// (0: none), declaredSpeed the target's own, ranMs the time it took there.
// Results without a usable time are ignored.
func (e *Estimator) Observe(agent uint64, className string, declaredMs, declaredSpeed, ranMs float64) {
	if !(ranMs > 0) || math.IsInf(ranMs, 0) {
		return
	}
	e.clock++
	c := e.class(className)
	c.used = e.clock
	s := e.speeds[agent]
	if s == nil {
		s = &agentSpeed{factor: 1}
		e.speeds[agent] = s
	}
	b, base := bucketOf(declaredMs)
	atSpeed1 := math.Log(ranMs * sane(declaredSpeed) / base)
	// The class learns what is left after the agent's speed, the agent what is
	// left after the class: each result is explained once.
	known := c.ratio(b)
	seen := c.bucket[b].count
	if seen > 0 {
		c.spread.add(math.Abs(atSpeed1+s.value-known)-c.spread.value, 0)
	}
	c.bucket[b].add(atSpeed1+s.value-c.bucket[b].value, 0)
	c.whole.add(atSpeed1+s.value-c.whole.value, 0)
	if seen > 0 {
		s.add(known-atSpeed1-s.value, speedPrior)
		s.factor = math.Exp(s.value)
	}
}

// TaskMs returns the expected run time of a task on a target of speed 1.
func (e *Estimator) TaskMs(className string, declaredMs float64) float64 {
	b, base := bucketOf(declaredMs)
	c := e.classes[className]
	if c == nil {
		return base
	}
	return base * math.Exp(c.ratio(b))
}

// ErrorFactor returns the factor, at least 1, by which a run time of the class
// typically differs from what TaskMs says, in either direction.
func (e *Estimator) ErrorFactor(className string) float64 {
	c := e.classes[className]
	if c == nil {
		return unknownSpread
	}
	return math.Exp(c.spread.value)
}

// Speed returns the agent's real speed, given the one its target declares.
func (e *Estimator) Speed(agent uint64, declared float64) float64 {
	s := e.speeds[agent]
	if s == nil {
		return sane(declared)
	}
	return sane(declared) * s.factor
}

// ForgetAgent drops what was learned about an agent that is gone.
func (e *Estimator) ForgetAgent(agent uint64) { delete(e.speeds, agent) }

func (e *Estimator) class(name string) *class {
	c := e.classes[name]
	if c != nil {
		return c
	}
	if len(e.classes) >= maxClasses {
		e.dropOldest()
	}
	c = &class{}
	e.classes[name] = c
	return c
}

func (e *Estimator) dropOldest() {
	oldest, used := "", uint64(math.MaxUint64)
	for name, c := range e.classes {
		if c.used < used {
			oldest, used = name, c.used
		}
	}
	delete(e.classes, oldest)
}

// bucketOf returns the bucket of a declared time and the time itself, or what
// stands in for it.
func bucketOf(declaredMs float64) (int, float64) {
	if !(declaredMs > 0) {
		return 0, undeclaredMs
	}
	b := 1 + int(math.Log2(max(declaredMs, 1)))
	return min(b, buckets-1), declaredMs
}

// sane replaces a speed that a target can't mean.
func sane(speed float64) float64 {
	if !(speed > 0) || math.IsInf(speed, 0) {
		return 1
	}
	return speed
}

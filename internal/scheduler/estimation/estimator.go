// Package estimation estimates the actual run times of tasks and the actual speeds of
// targets from the run times of completed tasks.
//
// Callers declare run times that are off by a factor of e or of 10, for some classes
// always and for others at random, and targets bought over many years run at other speeds
// than they declare. Queue order and target selection both depend on run times. With the
// declared values, a class that declares a tenth of its work is always served first at the
// expense of accurately declared classes, and a target that declares too high a speed
// receives the longest tasks.
//
// For each class and each bucket of declared time, the estimator keeps the typical ratio
// of actual to declared time, and for each agent the ratio of actual to declared speed,
// both as moving means of logarithms. On a logarithmic scale an error by a factor has the
// same weight in both directions, and each update is clipped, so that a single outlier
// does not move a ratio far. Buckets are needed where errors are random: tasks with a very
// long declared time are then shorter than declared on average, and those with a very
// short one longer, which a single ratio per class can't express.
package estimation

import "math"

const (
	// bucketCount is the number of buckets of declared time, each a factor of two wide,
	// from 1 ms up to the longest permitted declaration of an hour (2^22 ms). Bucket 0 is
	// for tasks without a declared time.
	bucketCount = 24
	// undeclaredMs replaces a missing declaration until the class has results: the middle of
	// the run times that users name for most of their tasks.
	undeclaredMs = 300
	// windowResults is the number of results over which a ratio is averaged: enough to
	// reduce errors by a factor of e to a fifth, and few enough that a target that becomes
	// slow is recognised within one or two rounds of its slots.
	windowResults = 16
	// maxLogStep clips the deviation of one result, as a logarithm: a factor of 16, more than
	// the factor of 10 by which the declarations of whole classes can be off.
	maxLogStep = 2.772588722239781
	// speedPrior is the weight, in results, of the declared speed of a new agent, so that the
	// error of a class without results is not attributed to the target.
	speedPrior = 4
	// bucketPrior is the number of results after which the ratio of a bucket has the same
	// weight as that of its class.
	bucketPrior = 4
	// defaultErrorFactor is the ErrorFactor of a class without results: declarations are
	// typically off by a factor of e.
	defaultErrorFactor = math.E
	// maxClasses bounds the memory use; it is enough for 140 teams with a few classes each.
	// Beyond it, the class without results for the longest time is evicted.
	maxClasses = 1024
)

// movingMean is an exponentially weighted moving average of logarithms.
type movingMean struct {
	value float64
	count float64 // number of results, up to windowResults
}

// add moves the mean by the deviation of a result from it. The initial value 0 has the weight
// of prior results.
func (m *movingMean) add(deviation, prior float64) {
	m.count = min(m.count+1, windowResults)
	deviation = max(-maxLogStep, min(maxLogStep, deviation))
	m.value += deviation / min(m.count+prior, windowResults)
}

// class holds the measurements of one class of tasks.
type class struct {
	overall movingMean
	bucket  [bucketCount]movingMean
	// meanError is the mean absolute error of estimates, as a logarithm.
	meanError movingMean
	lastUsed  uint64 // Estimator.resultCount at its latest result
}

// ratio returns the logarithm of the ratio of actual to declared time in bucket b.
func (c *class) ratio(b int) float64 {
	own := &c.bucket[b]
	return (own.value*own.count + c.overall.value*bucketPrior) / (own.count + bucketPrior)
}

// agentSpeed is the ratio of an agent's actual to its declared speed.
type agentSpeed struct {
	movingMean
	factor float64 // exponential of the mean, cached because it is read far more often than it changes
}

// Estimator estimates run times and speeds. It is not safe for concurrent use.
type Estimator struct {
	classes     map[string]*class
	speeds      map[uint64]*agentSpeed
	resultCount uint64 // number of results, the clock for the eviction of classes
}

// New returns an estimator without results, which returns declared values unchanged.
func New() *Estimator {
	return &Estimator{classes: map[string]*class{}, speeds: map[uint64]*agentSpeed{}}
}

// Observe adds the result of a completed task: declaredMs is the run time that the caller
// declared (0: none), declaredSpeed the speed that the target declared, and ranMs the run
// time there. Results whose ranMs is not positive and finite are ignored.
func (e *Estimator) Observe(agent uint64, className string, declaredMs, declaredSpeed, ranMs float64) {
	if !(ranMs > 0) || math.IsInf(ranMs, 0) {
		return
	}
	e.resultCount++
	c := e.class(className)
	c.lastUsed = e.resultCount
	s := e.speeds[agent]
	if s == nil {
		s = &agentSpeed{factor: 1}
		e.speeds[agent] = s
	}
	b, base := bucketOf(declaredMs)
	logRatio := math.Log(ranMs * validSpeed(declaredSpeed) / base)
	// The class is updated with the deviation that remains after the agent's speed, and the
	// agent with the one that remains after the class, so that no deviation counts twice.
	expected := c.ratio(b)
	bucketResults := c.bucket[b].count
	if bucketResults > 0 {
		c.meanError.add(math.Abs(logRatio+s.value-expected)-c.meanError.value, 0)
	}
	c.bucket[b].add(logRatio+s.value-c.bucket[b].value, 0)
	c.overall.add(logRatio+s.value-c.overall.value, 0)
	if bucketResults > 0 {
		s.add(expected-logRatio-s.value, speedPrior)
		s.factor = math.Exp(s.value)
	}
}

// TaskMs returns the expected run time of a task on a target of speed 1, in milliseconds.
// declaredMs 0 means that none is declared.
func (e *Estimator) TaskMs(className string, declaredMs float64) float64 {
	b, base := bucketOf(declaredMs)
	c := e.classes[className]
	if c == nil {
		return base
	}
	return base * math.Exp(c.ratio(b))
}

// ErrorFactor returns the factor, at least 1, by which a run time of the class typically
// differs from TaskMs in either direction.
func (e *Estimator) ErrorFactor(className string) float64 {
	c := e.classes[className]
	if c == nil {
		return defaultErrorFactor
	}
	return math.Exp(c.meanError.value)
}

// Speed returns the estimated actual speed of the agent's target, given the declared one.
func (e *Estimator) Speed(agent uint64, declared float64) float64 {
	s := e.speeds[agent]
	if s == nil {
		return validSpeed(declared)
	}
	return validSpeed(declared) * s.factor
}

// ForgetAgent removes the speed of an agent that has disconnected.
func (e *Estimator) ForgetAgent(agent uint64) { delete(e.speeds, agent) }

func (e *Estimator) class(name string) *class {
	c := e.classes[name]
	if c != nil {
		return c
	}
	if len(e.classes) >= maxClasses {
		e.evictLeastRecentlyUsed()
	}
	c = &class{}
	e.classes[name] = c
	return c
}

func (e *Estimator) evictLeastRecentlyUsed() {
	oldest, used := "", uint64(math.MaxUint64)
	for name, c := range e.classes {
		if c.lastUsed < used {
			oldest, used = name, c.lastUsed
		}
	}
	delete(e.classes, oldest)
}

// bucketOf returns the bucket of a declared time, and the time itself or undeclaredMs if there
// is none.
func bucketOf(declaredMs float64) (int, float64) {
	if !(declaredMs > 0) {
		return 0, undeclaredMs
	}
	b := 1 + int(math.Log2(max(declaredMs, 1)))
	return min(b, bucketCount-1), declaredMs
}

// validSpeed returns the declared speed, or 1 if it is not positive and finite.
func validSpeed(speed float64) float64 {
	if !(speed > 0) || math.IsInf(speed, 0) {
		return 1
	}
	return speed
}

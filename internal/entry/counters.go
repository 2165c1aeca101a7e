package entry

import (
	"runtime"
	"strconv"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/camphorrack/camphorrack/internal/config"
	"github.com/camphorrack/camphorrack/internal/forward"
	"github.com/camphorrack/camphorrack/internal/owner"
	"github.com/camphorrack/camphorrack/internal/session"
)

// counters are what GET /metrics shows.
type counters struct {
	registry metrics.Registry
	requests metrics.Counter
	panics   metrics.Counter
	byClass  [6]metrics.Counter // responses by the first digit of their status
	sessions *session.Counters
	forward  *forward.Counters
}

func newCounters(queued func() int) (*counters, error) {
	c := &counters{registry: metrics.NewRegistry(), sessions: &session.Counters{}, forward: forward.NewCounters()}
	c.requests = metrics.NewRegisteredCounter("http.requests", c.registry)
	c.panics = metrics.NewRegisteredCounter("http.panics", c.registry)
	for class := 2; class < len(c.byClass); class++ {
		c.byClass[class] = metrics.NewRegisteredCounter("http.responses."+strconv.Itoa(class)+"xx", c.registry)
	}
	c.gauge("control.queued_commands", func() int64 { return int64(queued()) })
	c.gauge("sessions.frames_in", c.sessions.FramesIn.Load)
	c.gauge("sessions.frames_out", c.sessions.FramesOut.Load)
	c.gauge("sessions.bytes_in", c.sessions.BytesIn.Load)
	c.gauge("sessions.bytes_out", c.sessions.BytesOut.Load)
	c.gauge("sessions.heartbeats", c.sessions.Heartbeats.Load)
	c.gauge("sessions.closed_silent", c.sessions.ClosedSilent.Load)
	c.gauge("process.goroutines", func() int64 { return int64(runtime.NumGoroutine()) })
	c.gauge("process.cpu_us", processorMicroseconds)
	return c, c.forward.Register(c.registry)
}

func (c *counters) gauge(name string, read func() int64) {
	metrics.NewRegisteredFunctionalGauge(name, c.registry, read)
}

// processorMicroseconds is the processor time that the process has used.
func processorMicroseconds() int64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Microseconds()
}

// config shows which configuration is in force and how old it is.
func (c *counters) config(h *config.Holder) {
	c.gauge("config.version", func() int64 { return int64(h.Get().State.Version) })
	c.gauge("config.age_ms", func() int64 { return h.Age().Milliseconds() })
}

// status counts a response.
func (c *counters) status(status int) {
	if class := status / 100; class >= 2 && class < len(c.byClass) {
		c.byClass[class].Inc(1)
	}
}

// fault counts what a caller was told; faults that another entry answered with and
// that were passed on are counted there.
func (c *counters) fault(name string) {
	metrics.GetOrRegisterCounter("faults."+name, c.registry).Inc(1)
}

// update copies the control state's figures.
func (c *counters) update(s owner.Status) {
	set := func(name string, value int64) {
		metrics.GetOrRegisterGauge("owner."+name, c.registry).Update(value)
	}
	set("pending_jobs", int64(s.Pending))
	set("waiting_tasks", int64(s.Waiting))
	set("open_attempts", int64(s.Attempts))
	set("known_ids", int64(s.Known))
	set("agents", int64(s.Agents))
	set("accepted", int64(s.Counts.Accepted))
	set("attached", int64(s.Counts.Attached))
	set("refused", int64(s.Counts.Refused))
	set("complete", int64(s.Counts.Complete))
	set("failed", int64(s.Counts.Failed))
	set("starts", int64(s.Counts.Starts))
	set("not_run", int64(s.Counts.NotRun))
	set("cancels", int64(s.Counts.Cancels))
	set("unused_outcomes", int64(s.Counts.Unused))
}

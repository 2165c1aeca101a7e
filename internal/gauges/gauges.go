// Package gauges holds the metrics that every daemon shows alike.
package gauges

import (
	"runtime"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/camphorrack/camphorrack/internal/config"
	"github.com/camphorrack/camphorrack/internal/invariant"
	"github.com/camphorrack/camphorrack/internal/session"
)

// Set is a registry of metrics with the gauges that daemons share.
type Set struct{ metrics.Registry }

// New returns a set with the gauges of the process, of its sessions and of the
// commands that wait for its control goroutine.
func New(sessions *session.Counters, queued func() int) Set {
	s := Set{metrics.NewRegistry()}
	s.Gauge("control.queued_commands", func() int64 { return int64(queued()) })
	s.Gauge("sessions.frames_in", sessions.FramesIn.Load)
	s.Gauge("sessions.frames_out", sessions.FramesOut.Load)
	s.Gauge("sessions.bytes_in", sessions.BytesIn.Load)
	s.Gauge("sessions.bytes_out", sessions.BytesOut.Load)
	s.Gauge("sessions.heartbeats", sessions.Heartbeats.Load)
	s.Gauge("sessions.closed_silent", sessions.ClosedSilent.Load)
	s.Gauge("invariants.broken", invariant.Breaches)
	s.Gauge("process.goroutines", func() int64 { return int64(runtime.NumGoroutine()) })
	s.Gauge("process.cpu_us", processorMicroseconds)
	return s
}

// Gauge adds a gauge that is read whenever the metrics are.
func (s Set) Gauge(name string, read func() int64) {
	metrics.NewRegisteredFunctionalGauge(name, s.Registry, read)
}

// Config adds which configuration is in force and how old it is.
func (s Set) Config(h *config.Holder) {
	s.Gauge("config.version", func() int64 { return int64(h.Get().State.Version) })
	s.Gauge("config.age_ms", func() int64 { return h.Age().Milliseconds() })
}

// processorMicroseconds is the processor time that the process has used.
func processorMicroseconds() int64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Microseconds()
}

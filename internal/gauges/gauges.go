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
	s.RegisterGauge("control.queued_commands", func() int64 { return int64(queued()) })
	s.RegisterGauge("sessions.frames_in", sessions.FramesIn.Load)
	s.RegisterGauge("sessions.frames_out", sessions.FramesOut.Load)
	s.RegisterGauge("sessions.bytes_in", sessions.BytesIn.Load)
	s.RegisterGauge("sessions.bytes_out", sessions.BytesOut.Load)
	s.RegisterGauge("sessions.heartbeats", sessions.Heartbeats.Load)
	s.RegisterGauge("sessions.closed_silent", sessions.ClosedSilent.Load)
	s.RegisterGauge("invariants.broken", invariant.Breaches)
	s.RegisterGauge("process.goroutines", func() int64 { return int64(runtime.NumGoroutine()) })
	s.RegisterGauge("process.cpu_us", processorMicroseconds)
	return s
}

// RegisterGauge adds a gauge that is read whenever the metrics are.
func (s Set) RegisterGauge(name string, read func() int64) {
	metrics.NewRegisteredFunctionalGauge(name, s.Registry, read)
}

// RegisterConfig adds which configuration is in force and how old it is.
func (s Set) RegisterConfig(h *config.Holder) {
	s.RegisterGauge("config.version", func() int64 { return int64(h.Get().State.Version) })
	s.RegisterGauge("config.age_ms", func() int64 { return h.Age().Milliseconds() })
}

// processorMicroseconds is the processor time that the process has used.
func processorMicroseconds() int64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Microseconds()
}

// Package gauges provides the metrics that all daemons share.
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

// Set is a metrics registry with the gauges that all daemons share.
type Set struct{ metrics.Registry }

// New returns a set with the gauges of the process, its sessions and its control
// goroutine. queued returns the number of commands that wait for that goroutine.
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
	s.RegisterGauge("process.cpu_us", cpuMicroseconds)
	return s
}

// RegisterGauge adds a gauge whose value is read whenever the metrics are read.
func (s Set) RegisterGauge(name string, read func() int64) {
	metrics.NewRegisteredFunctionalGauge(name, s.Registry, read)
}

// RegisterConfig adds gauges for the version of the configuration in force and its age.
func (s Set) RegisterConfig(r *config.Replica) {
	s.RegisterGauge("config.version", func() int64 { return int64(r.Get().State.Version) })
	s.RegisterGauge("config.age_ms", func() int64 { return r.Age().Milliseconds() })
}

// cpuMicroseconds returns the user and system CPU time that the process has used, or 0
// if it can't be read.
func cpuMicroseconds() int64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Microseconds()
}

// Package leased contains the code shared by the two daemons in front of leased targets,
// the dispatcher on entry hosts and the runner beside each target: the options of their
// sessions, the records by which runners discover dispatchers, the handling of
// evacuations, the metrics page and the HTTP servers.
package leased

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"runtime/debug"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"
	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/gauges"
	"github.com/camphorrack/camphorrack/internal/httpconn"
	"github.com/camphorrack/camphorrack/internal/scheduler/connlimit"
	"github.com/camphorrack/camphorrack/internal/session"
)

func init() { gin.SetMode(gin.ReleaseMode) }

// MetricsTimeout is how long a request for the metrics waits for the control goroutine:
// less than the timeout of scrapers, and more than any batch of commands takes.
const MetricsTimeout = 500 * time.Millisecond

// MetricsPath is the path of the metrics page.
const MetricsPath = "/metrics"

// Heartbeats and silence timeout of a session. A caller whose connection broke resubmits
// its job to any entry after a delay, 1.3 s in present deployments; by then the runs of
// the former owner must have ended. An agent detects the loss of an owner at most
// silenceTimeout and one heartbeat interval after its last frame, 0.75 s, and a stop takes
// some tens of milliseconds, at most 0.1 s. If stops are lost, or an owner is late, the lease ends
// the runs in time (package lease): the dispatcher's heartbeats confirm what it verified to be
// wanted. The timeout is no shorter, because the end of a session costs the work that runs over it.
const (
	heartbeatInterval = 150 * time.Millisecond
	silenceTimeout    = 600 * time.Millisecond
	// handoverHeartbeatInterval applies between dispatchers: the confirmations of the one with the
	// callers delay those that the other sends to its runners.
	handoverHeartbeatInterval = 50 * time.Millisecond
)

// dialTimeout bounds the TCP connect to a dispatcher, which takes some milliseconds. A
// host that is restarting loses the first packet, and TCP retransmits it only after a
// second; a new connect is faster.
const dialTimeout = 120 * time.Millisecond

// SessionOptions returns the options of sessions between dispatchers and runners. They are
// the same for idle and busy sessions, because a job may arrive at any moment.
func SessionOptions(c *session.Counters) session.Options {
	return session.Options{
		HeartbeatInterval: heartbeatInterval, SilenceTimeout: silenceTimeout, IdleHeartbeatInterval: heartbeatInterval, IdleSilenceTimeout: silenceTimeout,
		DialTimeout: dialTimeout, Counters: c,
	}
}

// HandoverSessionOptions returns the options of sessions between dispatchers.
func HandoverSessionOptions(c *session.Counters) session.Options {
	o := SessionOptions(c)
	o.HeartbeatInterval, o.IdleHeartbeatInterval = handoverHeartbeatInterval, handoverHeartbeatInterval
	return o
}

// Record is the value that each dispatcher publishes under the name of its host, in the list of
// its data centre: the address that accepts sessions, and the data centre.
type Record struct {
	Addr       string `json:"addr"`
	DataCentre string `json:"data_centre"`
}

// Encode returns the record as JSON.
func (r Record) Encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode the record of an entry"))
	}
	return b
}

// ParseRecord decodes a record. An error means that the value comes from another version
// or another program.
func ParseRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, errors.Wrap(err, "record of an entry")
	}
	if _, _, err := net.SplitHostPort(r.Addr); err != nil {
		return Record{}, errors.Wrap(err, "record of an entry")
	}
	return r, nil
}

// LimitMemory sets the garbage collector's memory limit to two thirds of the host's limit
// in MB: a process above the host's limit is killed, and data received but not read yet
// counts towards it.
func LimitMemory(limitMB int) { debug.SetMemoryLimit(int64(limitMB) << 20 * 2 / 3) }

// HostLimits returns what a process has on its host. Without a known number of descriptors for connections
// it is the process's own limit.
func HostLimits(memoryMB, descriptors int) connlimit.Host {
	if descriptors <= 0 {
		descriptors = httpconn.DescriptorLimit()
	}
	return connlimit.Host{MemoryBytes: int64(memoryMB) << 20, Descriptors: descriptors}
}

// Metrics returns the handler of the metrics page in the format of WriteMetrics. refresh
// copies the figures of the control state for each request, so that they cost nothing
// between requests. If it fails, the page shows the previous figures.
func Metrics(log logr.Logger, r metrics.Registry, refresh func() error) gin.HandlerFunc {
	return func(g *gin.Context) {
		if err := refresh(); err != nil {
			event.Log(log, event.MetricsStale, "error", err.Error())
		}
		g.Header("Content-Type", "text/plain; charset=utf-8")
		WriteMetrics(g.Writer, r)
	}
}

// WriteMetrics writes the metrics as text, sorted by name: a line with name and value for
// each counter and gauge, and for each histogram a line with its count and one per quantile.
func WriteMetrics(w io.Writer, r metrics.Registry) {
	var names []string
	r.Each(func(name string, _ any) { names = append(names, name) })
	slices.Sort(names)
	for _, name := range names {
		switch m := r.Get(name).(type) {
		case metrics.Counter:
			fmt.Fprintf(w, "%s %d\n", name, m.Count())
		case metrics.Gauge:
			fmt.Fprintf(w, "%s %d\n", name, m.Value())
		case metrics.Histogram:
			writeHistogram(w, name, m.Snapshot())
		}
	}
}

func writeHistogram(w io.Writer, name string, h metrics.Histogram) {
	fmt.Fprintf(w, "%s_count %d\n", name, h.Count())
	for _, q := range []float64{0.5, 0.9, 0.99, 1} {
		fmt.Fprintf(w, "%s{quantile=\"%g\"} %.0f\n", name, q, h.Percentile(q))
	}
}

// Counters are the metrics of a daemon: those that all daemons have, and gauges that are
// copied from its control state.
type Counters struct {
	gauges.Set
	Sessions *session.Counters
}

// NewCounters returns the metrics of a daemon. queued returns the number of commands queued
// for its control goroutine.
func NewCounters(queued func() int) Counters {
	c := Counters{Sessions: &session.Counters{}}
	c.Set = gauges.New(c.Sessions, queued)
	return c
}

// SetGauge sets a gauge, and registers it on the first call.
func (c Counters) SetGauge(name string, value uint64) {
	metrics.GetOrRegisterGauge(name, c.Registry).Update(int64(value))
}

// RegisterHistogram registers a histogram whose sample is weighted towards the last five minutes.
func (c Counters) RegisterHistogram(name string) metrics.Histogram {
	return metrics.NewRegisteredHistogram(name, c.Registry, metrics.NewExpDecaySample(histogramSamples, 0.015))
}

// histogramSamples is the size of a histogram's sample, enough for a 99th percentile.
const histogramSamples = 1028

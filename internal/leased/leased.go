// Package leased holds what the two daemons in front of leased targets, the
// dispatcher on entry hosts and the runner beside each target, do alike: the watch
// over their sessions, the records by which runners find dispatchers, the metrics
// page and the HTTP servers.
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
	"github.com/camphorrack/camphorrack/internal/session"
)

func init() { gin.SetMode(gin.ReleaseMode) }

// EntriesTopic is the keyed topic in which each dispatcher keeps the record of where
// it is reached, under its host's name.
const EntriesTopic = "camphorrack-entries"

// MetricsTimeout is how long a reader of the metrics waits for the control goroutine:
// shorter than scrapers wait, and longer than any of its batches takes.
const MetricsTimeout = 500 * time.Millisecond

// MetricsPath is where the metrics are served.
const MetricsPath = "/metrics"

// The watch over a session. A caller whose connection broke sends its job again to
// any entry after a pause, 1.3 s on the present deployments; by then the runs of the
// old owner must be over. An agent finds an owner silent at most Silent and one
// heartbeat after its last word, and a stop takes some tens of milliseconds: 0.75 s
// and 0.1 s, which leaves 0.4 s for a stop that has to be repeated. It is no shorter,
// because each end of a session costs the work that runs over it.
const (
	heartbeat = 150 * time.Millisecond
	silent    = 600 * time.Millisecond
)

// dialTimeout bounds a connection to a dispatcher, some milliseconds away. A host that
// is just coming back loses the first packet, and TCP alone sends the next one after a
// second.
const dialTimeout = 120 * time.Millisecond

// SessionOptions returns the watch over sessions; an idle session is watched as
// closely as a busy one, because a job may come at any moment.
func SessionOptions(c *session.Counters) session.Options {
	return session.Options{
		HeartbeatInterval: heartbeat, SilenceTimeout: silent, IdleHeartbeatInterval: heartbeat, IdleSilenceTimeout: silent,
		DialTimeout: dialTimeout, Counters: c,
	}
}

// Record is what a dispatcher says of itself in EntriesTopic.
type Record struct {
	Addr       string `json:"addr"`
	DataCentre string `json:"data_centre"`
}

// Encode returns the record's bytes.
func (r Record) Encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode a record of strings"))
	}
	return b
}

// ParseRecord reads a record. Records of another form are the work of another
// version, or of another program.
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

// LimitMemory keeps the collector ahead of the host's limit: a process above it is
// killed. What is received and not read counts too, so a third is left.
func LimitMemory(limitMB int) { debug.SetMemoryLimit(int64(limitMB) << 20 * 2 / 3) }

// Metrics returns the handler of the metrics page: a name and a value a line, and for
// histograms a line for each of some quantiles. refresh copies the control state's figures
// first, so that they cost nothing while nobody reads them.
func Metrics(log logr.Logger, r metrics.Registry, refresh func() error) gin.HandlerFunc {
	return func(g *gin.Context) {
		if err := refresh(); err != nil {
			event.Log(log, event.MetricsStale, "error", err.Error())
		}
		g.Header("Content-Type", "text/plain; charset=utf-8")
		WriteMetrics(g.Writer, r)
	}
}

// WriteMetrics writes the metrics as text.
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

// Counters are the metrics of a daemon: those that all share, and gauges that are copied
// from its control state.
type Counters struct {
	gauges.Set
	Sessions *session.Counters
}

// NewCounters returns the counters of a daemon; queued tells how many commands wait.
func NewCounters(queued func() int) Counters {
	c := Counters{Sessions: &session.Counters{}}
	c.Set = gauges.New(c.Sessions, queued)
	return c
}

// SetGauge sets a gauge to a figure of the control state.
func (c Counters) SetGauge(name string, value uint64) {
	metrics.GetOrRegisterGauge(name, c.Registry).Update(int64(value))
}

// Histogram registers a histogram that favours the last five minutes.
func (c Counters) Histogram(name string) metrics.Histogram {
	return metrics.NewRegisteredHistogram(name, c.Registry, metrics.NewExpDecaySample(histogramSamples, 0.015))
}

// histogramSamples is the size of a histogram's sample: enough for a 99th percentile.
const histogramSamples = 1028

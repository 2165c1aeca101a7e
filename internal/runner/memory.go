package runner

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"strconv"
	"time"

	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/platformlog"
	"github.com/camphorrack/camphorrack/internal/runs"
)

// What a target said of itself is kept on the platform's store. A runner that starts
// again would otherwise wait for the next announcement, a second and a half, before
// its target may work; after a loss of all hosts' power that is as long as the outage
// itself. The record is only a hint: nothing is started before the target has answered
// under the name and the start time that the record has.

// memoryTopics is the number of topics that the records are spread over, by host: a
// runner reads a whole topic at its start, 360 records of 300 bytes at 5,700 hosts.
const memoryTopics = 16

// memory is the record of one host's target.
type memory struct {
	Name     string     `json:"name"`
	BornMs   int64      `json:"born_ms"`
	Service  string     `json:"service"`
	Labels   []string   `json:"labels,omitempty"`
	Capacity job.Demand `json:"capacity"`
	Leaving  bool       `json:"leaving,omitempty"`
	// DataCentre is where the target says it is.
	DataCentre string `json:"data_centre,omitempty"`
}

// memoryTopic returns the topic with a host's record.
func memoryTopic(host string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(host)) // never fails
	return "camphorrack-targets-" + strconv.Itoa(int(h.Sum32()%memoryTopics))
}

// remember writes the record of a target whose life or readiness has changed.
func (r *Runner) remember(a runs.Announcement) {
	m := memory{a.Incarnation.Name, a.Incarnation.StartedMs, a.Service, a.Labels, a.Capacity, a.Leaving, a.DataCentre}
	if r.forgetOlder != nil {
		r.forgetOlder()
	}
	value, err := json.Marshal(m)
	if err != nil {
		event.Log(r.log, event.BadFrame, "topic", memoryTopic(r.o.Host), "error", err.Error())
		return
	}
	ctx, cancel := context.WithCancel(r.ctx)
	r.forgetOlder = cancel
	go platformlog.Keep(ctx, r.log, r.o.Store, memoryTopic(r.o.Host), r.o.Host, value)
}

// recall reads the record of the target, once. Where the store does not answer, the
// target's next announcement serves.
func (r *Runner) recall(ctx context.Context) {
	topic := memoryTopic(r.o.Host)
	entries, _, err := r.o.Store.Newest(ctx, topic)
	if err != nil {
		event.Log(r.log, event.LogUnreachable, "topic", topic, "error", err.Error())
		return
	}
	for _, e := range entries {
		if e.Key != r.o.Host || len(e.Value) == 0 {
			continue
		}
		var m memory
		if err := json.Unmarshal(e.Value, &m); err != nil || m.Name == "" {
			event.Log(r.log, event.BadFrame, "topic", topic, "key", e.Key, "value", string(e.Value))
			return
		}
		a := runs.Announcement{
			Incarnation: runs.Incarnation{Name: m.Name, StartedMs: m.BornMs}, Service: m.Service, Labels: m.Labels, Capacity: m.Capacity, Leaving: m.Leaving, DataCentre: m.DataCentre,
		}
		r.do(func(now time.Time, s *state) { s.table.Restore(now, a) })
		r.renewNow()
	}
}

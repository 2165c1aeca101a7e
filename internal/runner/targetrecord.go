package runner

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/platformlog"
	"github.com/camphorrack/camphorrack/internal/runs"
	"github.com/cespare/xxhash/v2"
)

// The target's last announcement is stored in the platform's store. Otherwise a runner that
// restarts would wait for the next announcement, a second and a half, before its target gets
// work; after a power failure of all hosts that is as long as the outage itself. The record
// is only a hint: nothing is started before the target has answered with the name and the
// start time of the record.

// recordTopics is the number of topics over which the records are distributed by host, and over the
// partitions of each: a runner that starts reads a whole partition.
const recordTopics = 32

// memory is the stored record of a host's target.
type memory struct {
	Name      string     `json:"name"`
	StartedMs int64      `json:"born_ms"` // start time, in Unix milliseconds
	Service   string     `json:"service"`
	Labels    []string   `json:"labels,omitempty"`
	Capacity  job.Demand `json:"capacity"`
	Leaving   bool       `json:"leaving,omitempty"`
	// DataCentre is the data centre that the target announced.
	DataCentre string `json:"data_centre,omitempty"`
}

// recordPartition returns the partition of a host's record.
func recordPartition(host string, partitions int) platformlog.Partition {
	bucket := xxhash.Sum64String(host) % uint64(recordTopics*partitions)
	return platformlog.Partition{Topic: "camphorrack-targets-" + strconv.FormatUint(bucket%recordTopics, 10), Index: int(bucket / recordTopics)}
}

func (r *Runner) recordPartition() platformlog.Partition {
	return recordPartition(r.options.Host, r.options.Store.Partitions())
}

// storeTarget writes the target's record in the background, after a new incarnation, a
// departure or a change of capacity. It cancels the writing of an older record.
func (r *Runner) storeTarget(a runs.Announcement) {
	m := memory{a.Incarnation.Name, a.Incarnation.StartedMs, a.Service, a.Labels, a.Capacity, a.Leaving, a.DataCentre}
	if r.cancelOlderWrite != nil {
		r.cancelOlderWrite()
	}
	value, err := json.Marshal(m)
	if err != nil {
		event.Log(r.log, event.BadFrame, "topic", r.recordPartition().Topic, "error", err.Error())
		return
	}
	ctx, cancel := context.WithCancel(r.ctx)
	r.cancelOlderWrite = cancel
	go platformlog.PutWithRetry(ctx, r.log, r.options.Store, r.recordPartition(), r.options.Host, value)
}

// restoreTarget reads the target's record and restores it into the control state. If the
// store does not answer, it is not retried: the target's next announcement replaces it.
func (r *Runner) restoreTarget(ctx context.Context) {
	partition := r.recordPartition()
	topic := partition.Topic
	entries, _, err := r.options.Store.Newest(ctx, partition)
	if err != nil {
		event.Log(r.log, event.LogUnreachable, "topic", topic, "error", err.Error())
		return
	}
	for _, e := range entries {
		if e.Key != r.options.Host || len(e.Value) == 0 {
			continue
		}
		var m memory
		if err := json.Unmarshal(e.Value, &m); err != nil || m.Name == "" {
			event.Log(r.log, event.BadFrame, "topic", topic, "key", e.Key, "value", string(e.Value))
			return
		}
		a := runs.Announcement{
			Incarnation: runs.Incarnation{Name: m.Name, StartedMs: m.StartedMs}, Service: m.Service, Labels: m.Labels, Capacity: m.Capacity, Leaving: m.Leaving, DataCentre: m.DataCentre,
		}
		r.enqueue(func(now time.Time, s *state) { s.table.Restore(now, a) })
		r.requestRenewal()
	}
}

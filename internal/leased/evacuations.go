package leased

import (
	"time"

	"github.com/go-logr/logr"

	"github.com/camphorrack/camphorrack/internal/evacuation"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/platformlog"
)

// OperatorTopic describes the keyed topic to which operators write the configuration and
// the evacuations.
type OperatorTopic struct {
	Name      string
	ConfigKey string // of the configuration
	// EvacuatedDataCentre returns the data centre of an evacuation's key, empty if the key names
	// none; ok is false for other keys.
	EvacuatedDataCentre func(key string) (dataCentre string, ok bool)
}

// EvacuationRecords returns the evacuation records among entries of the topic. Records that
// name no data centre are logged and left out.
func (o OperatorTopic) EvacuationRecords(log logr.Logger, entries ...platformlog.Entry) []evacuation.Record {
	var records []evacuation.Record
	for _, e := range entries {
		dataCentre, ok := o.EvacuatedDataCentre(e.Key)
		if !ok {
			continue
		}
		if dataCentre == "" {
			event.Log(log, event.EvacuationBad, "topic", o.Name, "key", e.Key, "offset", e.Offset)
			continue
		}
		records = append(records, evacuation.Record{DataCentre: dataCentre, Offset: e.Offset, Lifted: len(e.Value) == 0})
	}
	return records
}

// NewEvacuationReplica returns a daemon's replica of the evacuation records. send queues records
// for a peer, and evacuate applies each change; changes are logged.
func NewEvacuationReplica(log logr.Logger, send func(evacuation.PeerID, []evacuation.Record), evacuate func(now time.Time, dataCentre string, lifted bool)) *evacuation.Replica {
	return &evacuation.Replica{Send: send, OnChange: func(now time.Time, rec evacuation.Record, peer evacuation.PeerID) {
		logEvacuation(log, rec, peer)
		evacuate(now, rec.DataCentre, rec.Lifted)
	}}
}

// logEvacuation logs an evacuation or its lifting, and whether the record comes from the log or
// a peer.
func logEvacuation(log logr.Logger, rec evacuation.Record, peer evacuation.PeerID) {
	id, from := event.EvacuationBegun, "log"
	if rec.Lifted {
		id = event.EvacuationLifted
	}
	if peer != 0 {
		from = "peer"
	}
	event.Log(log, id, "data_centre", rec.DataCentre, "offset", rec.Offset, "from", from, "conn", uint64(peer))
}

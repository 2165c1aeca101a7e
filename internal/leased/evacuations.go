package leased

import (
	"time"

	"github.com/go-logr/logr"

	"github.com/camphorrack/camphorrack/internal/evacuation"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/platformlog"
)

// OperatorTopic is where operators keep what they ask of the fleet.
type OperatorTopic struct {
	Name      string
	ConfigKey string
	// EvacuatedDataCentre returns the data centre that a key evacuates; false: it is another record.
	EvacuatedDataCentre func(key string) (dataCentre string, ok bool)
}

// EvacuationRecords returns what entries of the operator's topic say of evacuations.
func (o OperatorTopic) EvacuationRecords(log logr.Logger, entries ...platformlog.Entry) []evacuation.Record {
	var statements []evacuation.Record
	for _, e := range entries {
		dataCentre, ok := o.EvacuatedDataCentre(e.Key)
		if !ok {
			continue
		}
		if dataCentre == "" {
			event.Log(log, event.EvacuationBad, "topic", o.Name, "key", e.Key, "offset", e.Offset)
			continue
		}
		statements = append(statements, evacuation.Record{DataCentre: dataCentre, Offset: e.Offset, Lifted: len(e.Value) == 0})
	}
	return statements
}

// NewEvacuationReplica returns what a daemon knows of evacuations: send passes it on, and evacuate puts
// what changes into force.
func NewEvacuationReplica(log logr.Logger, send func(evacuation.PeerID, []evacuation.Record), evacuate func(now time.Time, dataCentre string, lifted bool)) *evacuation.Replica {
	return &evacuation.Replica{Send: send, OnChange: func(now time.Time, s evacuation.Record, peer evacuation.PeerID) {
		logEvacuation(log, s, peer)
		evacuate(now, s.DataCentre, s.Lifted)
	}}
}

// logEvacuation writes the line of a changed belief.
func logEvacuation(log logr.Logger, s evacuation.Record, peer evacuation.PeerID) {
	id, from := event.EvacuationBegun, "log"
	if s.Lifted {
		id = event.EvacuationLifted
	}
	if peer != 0 {
		from = "peer"
	}
	event.Log(log, id, "data_centre", s.DataCentre, "offset", s.Offset, "from", from, "conn", uint64(peer))
}

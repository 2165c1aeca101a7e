package leased

import (
	"testing"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/platformlog"
	"github.com/camphorrack/camphorrack/internal/scheduler/membership"
)

// Guards against a dispatcher that knows no peer of its data centre because one record of the list is
// of another program.
func TestInvalidRecordsAreLeftOut(t *testing.T) {
	g := NewWithT(t)
	peers := peersOf(logr.Discard(), membership.Shard{DataCentre: "a"}, []platformlog.Entry{
		{Key: "a", Value: []byte(`{"addr":"10.1.0.6:7720","data_centre":"a"}`)}, {Key: "b", Value: []byte("{")}, {Key: "c", Value: []byte(`{"addr":"nowhere"}`)},
	})
	g.Expect(peers).To(Equal([]membership.Peer{{Addr: "10.1.0.6:7720", DataCentre: "a"}}))
}

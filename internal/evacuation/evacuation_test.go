package evacuation

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// testReplica is a Replica that keeps its evacuated data centres and the records it sends.
type testReplica struct {
	Replica
	evacuated map[string]bool
	sent      map[PeerID][]Record
}

func newTestReplica() *testReplica {
	r := &testReplica{evacuated: map[string]bool{}, sent: map[PeerID][]Record{}}
	r.Send = func(id PeerID, list []Record) { r.sent[id] = append(r.sent[id], list...) }
	r.OnChange = func(_ time.Time, rec Record, _ PeerID) { r.evacuated[rec.DataCentre] = !rec.Lifted }
	return r
}

var now = time.Unix(1_800_000_000, 0)

// Guards against a delayed peer that restores an evacuation after it was lifted.
func TestLiftSupersedesOlderEvacuation(t *testing.T) {
	g, r := NewWithT(t), newTestReplica()
	r.PeerUp(1)
	r.MergeRecord(now, Record{DataCentre: "a", Offset: 4})
	r.MergeRecord(now, Record{DataCentre: "a", Offset: 7, Lifted: true})
	r.MergeFromPeer(now, 1, []Record{{DataCentre: "a", Offset: 4}})
	g.Expect(r.evacuated).To(HaveKeyWithValue("a", false))
	r.PeerUp(2)
	g.Expect(r.sent[2]).To(ConsistOf(Record{DataCentre: "a", Offset: 7, Lifted: true}))
}

// Guards against targets that stay idle permanently because the log has dropped the record that
// lifted their evacuation, so that only its key is missing.
func TestKeyMissingFromSnapshotLiftsEvacuation(t *testing.T) {
	g, r := NewWithT(t), newTestReplica()
	r.MergeRecord(now, Record{DataCentre: "a", Offset: 4})
	r.MergeRecord(now, Record{DataCentre: "b", Offset: 5})
	r.MergeSnapshot(now, []Record{{DataCentre: "b", Offset: 5}}, 9)
	g.Expect(r.evacuated).To(Equal(map[string]bool{"a": false, "b": true}))
}

// Guards against a snapshot that was read before an evacuation and lifts it.
func TestOlderSnapshotKeepsNewerEvacuation(t *testing.T) {
	g, r := NewWithT(t), newTestReplica()
	r.MergeFromPeer(now, 1, []Record{{DataCentre: "a", Offset: 9}})
	r.MergeSnapshot(now, nil, 9)
	g.Expect(r.evacuated).To(HaveKeyWithValue("a", true))
}

// Guards against an evacuation that was lifted between two pages of a snapshot and stays in
// force because the end of the snapshot is right after its record.
func TestEvacuationLiftedBetweenTwoPages(t *testing.T) {
	g, r := NewWithT(t), newTestReplica()
	r.MergeRecord(now, Record{DataCentre: "a", Offset: 8})
	r.MergeSnapshot(now, nil, 9)
	g.Expect(r.evacuated).To(HaveKeyWithValue("a", false))
	r.MergeRecord(now, Record{DataCentre: "a", Offset: 9, Lifted: true})
	r.MergeRecord(now, Record{DataCentre: "a", Offset: 10})
	g.Expect(r.evacuated).To(HaveKeyWithValue("a", true))
}

// Guards against a peer that keeps an evacuation in force which was lifted before the process
// that has read the log was started.
func TestRestartedProcessCorrectsPeer(t *testing.T) {
	g, r := NewWithT(t), newTestReplica()
	r.MergeSnapshot(now, nil, 9)
	r.PeerUp(1)
	r.MergeFromPeer(now, 1, []Record{{DataCentre: "a", Offset: 4}})
	g.Expect(r.evacuated).NotTo(HaveKeyWithValue("a", true))
	g.Expect(r.sent[1]).To(ConsistOf(Record{DataCentre: "a", Offset: 8, Lifted: true}))
}

// Guards against replicas that depend on the order in which records arrive, and against
// records that circulate between peers without end.
func TestReplicasConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Record {
			return Record{DataCentre: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "data centre"), Lifted: rapid.Bool().Draw(t, "lifted")}
		}), 1, 12).Draw(t, "records")
		truth := map[string]bool{}
		for i := range records {
			records[i].Offset = uint64(i)
			truth[records[i].DataCentre] = !records[i].Lifted
		}
		x, y := newTestReplica(), newTestReplica()
		x.PeerUp(1)
		y.PeerUp(1)
		for _, i := range rapid.Permutation(index(len(records))).Draw(t, "order of x") {
			x.MergeRecord(now, records[i])
		}
		for range 3 * len(records) {
			exchange(now, x, y)
		}
		if len(x.sent[1])+len(y.sent[1]) > 0 {
			t.Fatalf("records circulate without end: %v %v", x.sent, y.sent)
		}
		for name, evacuated := range truth {
			if x.evacuated[name] != evacuated || y.evacuated[name] != evacuated {
				t.Fatalf("%s: want %t, have %t and %t", name, evacuated, x.evacuated[name], y.evacuated[name])
			}
		}
	})
}

func index(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// exchange delivers to each of two peers the records that the other has sent.
func exchange(now time.Time, x, y *testReplica) {
	toX, toY := y.sent[1], x.sent[1]
	x.sent[1], y.sent[1] = nil, nil
	x.MergeFromPeer(now, 1, toX)
	y.MergeFromPeer(now, 1, toY)
}

package evacuation

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// holder is a Holder that keeps what it was told and what it sends.
type holder struct {
	Replica
	out  map[string]bool
	sent map[PeerID][]Record
}

func newHolder() *holder {
	h := &holder{out: map[string]bool{}, sent: map[PeerID][]Record{}}
	h.Send = func(id PeerID, list []Record) { h.sent[id] = append(h.sent[id], list...) }
	h.OnChange = func(_ time.Time, s Record, _ PeerID) { h.out[s.DataCentre] = !s.Lifted }
	return h
}

var now = time.Unix(1_800_000_000, 0)

// Guards against a delayed peer that brings an evacuation back after it was lifted.
func TestLiftedEvacuationOutdatesAnOlderOne(t *testing.T) {
	g, h := NewWithT(t), newHolder()
	h.PeerUp(1)
	h.MergeRecord(now, Record{DataCentre: "a", Offset: 4})
	h.MergeRecord(now, Record{DataCentre: "a", Offset: 7, Lifted: true})
	h.MergeFromPeer(now, 1, []Record{{DataCentre: "a", Offset: 4}})
	g.Expect(h.out).To(HaveKeyWithValue("a", false))
	h.PeerUp(2)
	g.Expect(h.sent[2]).To(ConsistOf(Record{DataCentre: "a", Offset: 7, Lifted: true}))
}

// Guards against targets that stay idle for good: the log has forgotten the record that
// lifted their evacuation, and only a key is missing.
func TestKeyThatIsMissingLiftsAnEvacuation(t *testing.T) {
	g, h := NewWithT(t), newHolder()
	h.MergeRecord(now, Record{DataCentre: "a", Offset: 4})
	h.MergeRecord(now, Record{DataCentre: "b", Offset: 5})
	h.MergeSnapshot(now, []Record{{DataCentre: "b", Offset: 5}}, 9)
	g.Expect(h.out).To(Equal(map[string]bool{"a": false, "b": true}))
}

// Guards against a list that was read before an evacuation and ends it.
func TestOlderListLeavesANewerEvacuation(t *testing.T) {
	g, h := NewWithT(t), newHolder()
	h.MergeFromPeer(now, 1, []Record{{DataCentre: "a", Offset: 9}})
	h.MergeSnapshot(now, nil, 9)
	g.Expect(h.out).To(HaveKeyWithValue("a", true))
}

// Guards against an evacuation that was lifted between two pages of a list and stays in force
// because the list's end is right behind its record.
func TestEvacuationLiftedBetweenTwoPages(t *testing.T) {
	g, h := NewWithT(t), newHolder()
	h.MergeRecord(now, Record{DataCentre: "a", Offset: 8})
	h.MergeSnapshot(now, nil, 9)
	g.Expect(h.out).To(HaveKeyWithValue("a", false))
	h.MergeRecord(now, Record{DataCentre: "a", Offset: 9, Lifted: true})
	h.MergeRecord(now, Record{DataCentre: "a", Offset: 10})
	g.Expect(h.out).To(HaveKeyWithValue("a", true))
}

// Guards against a peer that goes on believing in an evacuation that was lifted before the
// process that has read the log was started.
func TestStarterCorrectsAPeer(t *testing.T) {
	g, h := NewWithT(t), newHolder()
	h.MergeSnapshot(now, nil, 9)
	h.PeerUp(1)
	h.MergeFromPeer(now, 1, []Record{{DataCentre: "a", Offset: 4}})
	g.Expect(h.out).NotTo(HaveKeyWithValue("a", true))
	g.Expect(h.sent[1]).To(ConsistOf(Record{DataCentre: "a", Offset: 8, Lifted: true}))
}

// Guards against beliefs that depend on the order in which statements arrive, and against
// statements that circle between peers.
func TestBeliefsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Record {
			return Record{DataCentre: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "data centre"), Lifted: rapid.Bool().Draw(t, "lifted")}
		}), 1, 12).Draw(t, "records")
		truth := map[string]bool{}
		for i := range records {
			records[i].Offset = uint64(i)
			truth[records[i].DataCentre] = !records[i].Lifted
		}
		x, y := newHolder(), newHolder()
		x.PeerUp(1)
		y.PeerUp(1)
		for _, i := range rapid.Permutation(index(len(records))).Draw(t, "order of x") {
			x.MergeRecord(now, records[i])
		}
		for range 3 * len(records) {
			exchange(now, x, y)
		}
		if len(x.sent[1])+len(y.sent[1]) > 0 {
			t.Fatalf("statements circle: %v %v", x.sent, y.sent)
		}
		for name, out := range truth {
			if x.out[name] != out || y.out[name] != out {
				t.Fatalf("%s: want %t, have %t and %t", name, out, x.out[name], y.out[name])
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

// exchange hands each of two peers what the other has sent.
func exchange(now time.Time, x, y *holder) {
	toX, toY := y.sent[1], x.sent[1]
	x.sent[1], y.sent[1] = nil, nil
	x.MergeFromPeer(now, 1, toX)
	y.MergeFromPeer(now, 1, toY)
}

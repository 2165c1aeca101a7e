package confsync

import (
	"container/heap"
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/scheduler/membership"
	"github.com/camphorrack/camphorrack/internal/scheduler/subset"
	"github.com/camphorrack/camphorrack/internal/wire"
)

const (
	simBodyBytes = 10_000
	simNoteBytes = 100
	simHop       = 2 * time.Millisecond // one way, with the wake-up of the receiver
	simTick      = 20 * time.Millisecond
)

// simNode is a process with its link and its sessions.
type simNode struct {
	Replica
	bytesPerMs float64
	linkFree   time.Time
	sessions   map[PeerID]simSession
	appliedAt  time.Time
}

// simSession is the other end of a session, and the number of the session there.
type simSession struct {
	peer *simNode
	id   PeerID
}

// simEvent is something that happens at a time.
type simEvent struct {
	at    time.Time
	order int
	do    func()
}

type simEvents []simEvent

func (e simEvents) Len() int      { return len(e) }
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e *simEvents) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// simNetwork is a fleet whose runners keep sessions with the entries that subset selects.
type simNetwork struct {
	now           time.Time
	events        simEvents
	scheduled     int
	nodes         []*simNode
	bodies, notes int
	firstBodies   int // sent by the entry that hears of the change
}

func newSimNetwork(entries int) *simNetwork {
	n := &simNetwork{now: time.Unix(1_800_000_000, 0)}
	var candidates []subset.Candidate
	byAddr := map[string]int{}
	for i := range entries {
		addr := fmt.Sprint("entry", i)
		byAddr[addr] = i
		candidates = append(candidates, subset.Candidate{Addr: addr, DataCentre: "dc"})
		n.add([]float64{2500, 25_000, 125_000}[i%3]) // 20, 200, 1,000 Mbit/s
	}
	for i := range entries * 435 / 100 {
		runner := n.add(125_000)
		for _, addr := range subset.Choose(fmt.Sprint("side", i), "dc", candidates, membership.AgentSessions) {
			n.connect(runner, byAddr[addr])
		}
	}
	return n
}

func (n *simNetwork) add(bytesPerMs float64) int {
	node := &simNode{bytesPerMs: bytesPerMs, sessions: map[PeerID]simSession{}}
	node.Apply = func(now time.Time, _ uint64, _ []byte) error { node.appliedAt = now; return nil }
	node.Send = func(to PeerID, note wire.ConfigNote) { n.send(node, node.sessions[to], note) }
	n.nodes = append(n.nodes, node)
	return len(n.nodes) - 1
}

// connect opens a session. Each process numbers its sessions itself.
func (n *simNetwork) connect(i, j int) {
	a, b := n.nodes[i], n.nodes[j]
	atA, atB := PeerID(len(a.sessions)+1), PeerID(len(b.sessions)+1)
	a.sessions[atA], b.sessions[atB] = simSession{b, atB}, simSession{a, atA}
	a.PeerUp(atA)
	b.PeerUp(atB)
}

func (n *simNetwork) at(t time.Time, do func()) {
	n.scheduled++
	heap.Push(&n.events, simEvent{t, n.scheduled, do})
}

func (n *simNetwork) send(from *simNode, to simSession, note wire.ConfigNote) {
	n.notes++
	if len(note.Body) > 0 {
		n.bodies++
		if from == n.nodes[0] {
			n.firstBodies++
		}
	}
	if from.linkFree.Before(n.now) {
		from.linkFree = n.now
	}
	from.linkFree = from.linkFree.Add(time.Duration(float64(simNoteBytes+len(note.Body)) / from.bytesPerMs * float64(time.Millisecond)))
	n.at(from.linkFree.Add(simHop), func() { _ = to.peer.HandleNote(n.now, to.id, &note) }) // Apply never fails
}

// spread gives a configuration to one entry and returns the time until all processes have it.
func (n *simNetwork) spread() time.Duration {
	start := n.now
	_ = n.nodes[0].Update(n.now, 1, make([]byte, simBodyBytes)) // Apply never fails
	for i, node := range n.nodes {
		var tick func()
		tick = func() {
			if node.Tick(n.now); node.Version() == 0 || len(node.unannounced) > 0 {
				n.at(n.now.Add(simTick), tick)
			}
		}
		n.at(n.now.Add(simTick*time.Duration(i)/time.Duration(len(n.nodes))), tick)
	}
	last := start
	for len(n.events) > 0 {
		e := heap.Pop(&n.events).(simEvent)
		n.now = e.at
		e.do()
	}
	for _, node := range n.nodes {
		if node.appliedAt.After(last) {
			last = node.appliedAt
		}
	}
	return last.Sub(start)
}

// Guards against a configuration that reaches a larger fleet later than by the logarithm of its size, and
// against messages that grow faster than the sessions, and against one process whose link carries the body to
// each of its peers. The worst case: the store serves one entry alone, on
// a link of 20 Mbit/s.
func TestConfigurationSpreadsInLogarithmicTime(t *testing.T) {
	g := NewWithT(t)
	var before time.Duration
	for entries := 40; entries <= 320; entries *= 2 {
		n := newSimNetwork(entries)
		took := n.spread()
		sessions := (len(n.nodes) - entries) * membership.AgentSessions
		t.Logf("%d processes: %v, %d bodies, %d notes on %d sessions", len(n.nodes), took, n.bodies, n.notes, sessions)
		for _, node := range n.nodes {
			g.Expect(node.Version()).To(Equal(uint64(1)))
		}
		g.Expect(n.bodies).To(BeNumerically("<=", 2*len(n.nodes)))
		g.Expect(n.firstBodies).To(BeNumerically("<=", len(n.nodes[0].sessions)/2), "others pass the body on")
		g.Expect(n.notes).To(BeNumerically("<=", 3*sessions))
		if before > 0 {
			growth := math.Log(float64(len(n.nodes))) / math.Log(float64(len(n.nodes))/2)
			g.Expect(float64(took)).To(BeNumerically("<=", 1.1*growth*float64(before)))
		}
		before = took
	}
}

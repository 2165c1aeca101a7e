package config

import (
	"math/rand/v2"
	"time"
)

// MaxFanOutDelay is the maximum of the random delay before an entry sends an update to an
// agent. An agent is connected to several entries that read a change at about the same
// time; with random delays, most of them see that the agent already has it. The delays
// also spread the traffic. A change may take 13 s in all to be in force everywhere.
const MaxFanOutDelay = 6 * time.Second

// logReadGrace is how long an agent lets an entry that has some configuration read the log
// itself. Otherwise, on every change, all agents that were updated by a faster entry would
// send it to the slower ones.
const logReadGrace = 4 * time.Second

// maxAgentDelay is the maximum of the random delay before an agent sends an update to an
// entry, such as one that has started while the log is unavailable. Once the first of its
// 760 agents has sent it, most others see in the next heartbeat that the entry has it.
const maxAgentDelay = time.Second

// Link decides which positions and updates one end of a connection sends to the other, on
// frames that are sent anyway. Each connection has its own Link. A Link is not safe for
// concurrent use.
type Link struct {
	replica      *Replica
	rng          *rand.Rand
	maxDelay     time.Duration
	atAgent      bool
	peerKnown    bool
	peerPosition uint64 // last position received
	sentPosition uint64 // position of the last update sent
	peerBehind   bool
	updateDue    time.Time
}

// NewEntryLink returns the entry's end of a new connection to an agent.
func NewEntryLink(r *Replica, rng *rand.Rand) *Link {
	return &Link{replica: r, rng: rng, maxDelay: MaxFanOutDelay}
}

// NewAgentLink returns the agent's end of a new connection to an entry. An agent considers
// its configuration current when an entry that has read the log recently sends the same
// position. An entry relies on the log alone: otherwise processes would confirm each
// other's configuration during an outage, and none would report its age.
func NewAgentLink(r *Replica, rng *rand.Rand) *Link {
	return &Link{replica: r, rng: rng, maxDelay: maxAgentDelay, atAgent: true}
}

// confirmsCurrent reports whether this end may confirm to the peer that its position is
// current.
func (l *Link) confirmsCurrent() bool { return !l.atAgent && l.replica.Age() < maxConfirmAge }

// Receive handles the peer's position and the update, if any, of a received frame. If it
// returns an error, which is a *CodecError or a *FormatError, the update was not applied.
func (l *Link) Receive(position uint64, update []byte) error {
	l.peerPosition, l.peerKnown = position, true
	var err error
	if len(update) > 0 {
		err = l.replica.ApplyUpdate(update)
	}
	if l.atAgent && position == l.replica.Position() {
		l.replica.MarkCurrent()
	}
	return err
}

// PrepareFrame returns the position for the next frame, and an encoded update if one is due
// and nil otherwise.
func (l *Link) PrepareFrame(now time.Time) (position uint64, update []byte) {
	position = l.replica.Position()
	if !l.peerKnown || l.peerPosition >= position || l.sentPosition >= position {
		l.peerBehind = false
		return position, nil
	}
	if !l.peerBehind {
		l.peerBehind = true
		l.updateDue = now.Add(l.delay())
	}
	if now.Before(l.updateDue) {
		return position, nil
	}
	b, err := l.replica.EncodeUpdate(l.peerPosition)
	if err != nil {
		return position, nil // no process can have received a state that can't be encoded
	}
	l.sentPosition, l.peerBehind = position, false
	return position, b
}

// delay returns the random delay before an update is sent.
func (l *Link) delay() time.Duration {
	d := time.Duration(l.rng.Int64N(int64(l.maxDelay)))
	if l.atAgent && l.peerPosition > 0 {
		d += logReadGrace
	}
	return d
}

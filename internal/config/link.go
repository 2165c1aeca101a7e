package config

import (
	"math/rand/v2"
	"time"
)

// MaxFanOutDelay is over how long an entry spreads the updates to its agents. An
// agent is connected to several entries that all hear of a change at about the
// same time; waiting a while, each at random, lets most of them see that another
// was first. It also spreads the bytes. The letter allows 13 s in all.
const MaxFanOutDelay = 6 * time.Second

// behindGrace is how long agents leave an entry that has some configuration to
// read the log by itself. Without it, the agents that hear of a change from a
// faster entry would all tell the slower ones, in every change.
const behindGrace = 4 * time.Second

// agentSpread is over how long agents spread what they tell an entry that has just
// started in an outage. The first of its 760 agents to do so makes most of the
// others see, a heartbeat later, that it is told.
const agentSpread = time.Second

// Link decides what one end of a connection tells the other about configuration,
// on frames that are sent anyway. It belongs to the goroutine of the control
// state. A new connection gets a new Link.
type Link struct {
	holder *Replica
	rng    *rand.Rand
	spread time.Duration
	agent  bool
	known  bool
	peer   uint64 // the peer's mark
	told   uint64 // the mark of the last update sent
	behind bool
	due    time.Time
}

// NewEntryLink returns an entry's end of a new connection to an agent.
func NewEntryLink(h *Replica, rng *rand.Rand) *Link {
	return &Link{holder: h, rng: rng, spread: MaxFanOutDelay}
}

// NewAgentLink returns an agent's end of a new connection to an entry. An agent
// counts itself current while an entry that read the log lately holds the same. An
// entry hears that from the log alone: else all of them would vouch for each other
// through an outage, and none would say how old its configuration is.
func NewAgentLink(h *Replica, rng *rand.Rand) *Link {
	return &Link{holder: h, rng: rng, spread: agentSpread, agent: true}
}

// vouches reports whether this end may say that its configuration is current.
func (l *Link) vouches() bool { return !l.agent && l.holder.Age() < vouchWithin }

// Receive takes the mark and the update, if any, of a frame that arrived. The error
// is a *CodecError or a *FormatError: the update was not used.
func (l *Link) Receive(mark uint64, update []byte) error {
	l.peer, l.known = mark, true
	var err error
	if len(update) > 0 {
		err = l.holder.ApplyUpdate(update)
	}
	if l.agent && mark == l.holder.Position() {
		l.holder.MarkCurrent()
	}
	return err
}

// PrepareFrame returns the mark and the update, if one is due, for a frame about to be sent.
func (l *Link) PrepareFrame(now time.Time) (mark uint64, update []byte) {
	mark = l.holder.Position()
	if !l.known || l.peer >= mark || l.told >= mark {
		l.behind = false
		return mark, nil
	}
	if !l.behind {
		l.behind = true
		l.due = now.Add(l.delay())
	}
	if now.Before(l.due) {
		return mark, nil
	}
	b, err := l.holder.EncodeUpdate(l.peer)
	if err != nil {
		return mark, nil // a state that can't be encoded is one the peer can't have either
	}
	l.told, l.behind = mark, false
	return mark, b
}

func (l *Link) delay() time.Duration {
	d := time.Duration(l.rng.Int64N(int64(l.spread)))
	if l.agent && l.peer > 0 {
		d += behindGrace
	}
	return d
}

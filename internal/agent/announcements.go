package agent

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/targetapi"
)

// announce takes an announcement that was checked. The error is a *fault.Fault.
func (s *state) announce(now time.Time, a *targetapi.Announcement) error {
	// Two targets that were configured with the same agent would take turns in
	// being "the" target, and slots would be granted for one and spent on the other.
	if !s.silent && s.announced.Name != a.Name {
		return fault.Input(fault.BadField, "name", "this agent serves target "+s.announced.Name)
	}
	before := s.announced
	wasSilent := s.silent
	s.announced, s.announceAt, s.silent = *a, now, false
	if s.caller == nil || before.Address != a.Address || before.Connections != a.Connections {
		s.replaceCaller(a)
	}
	switch {
	case a.Leaving && (wasSilent || !before.Leaving):
		event.Log(s.log, event.TargetLeaving, "target", a.Name)
	case wasSilent:
		event.Log(s.log, event.TargetAnnounced, "target", a.Name, "address", a.Address, "slots", a.Slots, "speed", a.Speed)
	}
	s.tellTarget(now)
	return nil
}

// replaceCaller makes new calls go to a new address or under a new cap; calls
// under way end on the old connections.
func (s *state) replaceCaller(a *targetapi.Announcement) {
	if s.caller != nil {
		s.caller.close()
	}
	s.caller = newCaller(a.Address, a.Connections)
}

func (s *state) tellTarget(now time.Time) {
	t := s.announced.WireTarget()
	t.Down = s.silent
	s.table.SetTarget(now, t)
}

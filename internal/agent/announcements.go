package agent

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/targetapi"
)

// applyAnnouncement updates the target from a validated announcement. The error is a
// *fault.Fault.
func (s *state) applyAnnouncement(now time.Time, a *targetapi.Announcement) error {
	// With two targets configured for the same agent, announcements would alternate between
	// them, and slots would be granted for one and used on the other.
	if !s.targetDown && s.announcement.Name != a.Name {
		return fault.Input(fault.BadField, "name", "this agent serves target "+s.announcement.Name)
	}
	before := s.announcement
	wasDown := s.targetDown
	s.announcement, s.announcedAt, s.targetDown = *a, now, false
	if s.client == nil || before.Address != a.Address || before.Connections != a.Connections {
		s.replaceClient(a)
	}
	switch {
	case a.Leaving && (wasDown || !before.Leaving):
		event.Log(s.log, event.TargetLeaving, "target", a.Name)
	case wasDown:
		event.Log(s.log, event.TargetAnnounced, "target", a.Name, "address", a.Address, "slots", a.Slots, "speed", a.Speed)
	}
	s.updateTarget(now)
	return nil
}

// replaceClient directs new calls to the announced address with the announced connection
// limit. Calls in progress finish on the old connections.
func (s *state) replaceClient(a *targetapi.Announcement) {
	if s.client != nil {
		s.client.close()
	}
	s.client = newTargetClient(a.Address, a.Connections)
}

// updateTarget passes the target, which may be down, to the attempt table.
func (s *state) updateTarget(now time.Time) {
	t := s.announcement.WireTarget()
	t.Down = s.targetDown
	s.table.SetTarget(now, t)
}

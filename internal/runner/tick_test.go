package runner

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/runs"
	"github.com/camphorrack/camphorrack/internal/scheduler/lease"
	"github.com/camphorrack/camphorrack/internal/scheduler/reservation"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// discard ignores what a table sends to its target and its entries.
type discard struct{}

func (discard) Start(runs.StartCall)            {}
func (discard) Stop(runs.StopCall)              {}
func (discard) Renew(runs.RenewCall)            {}
func (discard) Ended(uint64)                    {}
func (discard) Send(runs.ConnID, *wire.ToEntry) {}
func (discard) Close(runs.ConnID)               {}

func (discard) WantedAt(_ runs.ConnID, now time.Time) time.Time { return now }

// Guards against capacity that is held for longer than its offer states, because the next regular
// tick comes later.
func TestTickFollowsTheNextLapse(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_800_000_000, 0)
	s := &state{table: runs.New(runs.Options{Log: logr.Discard(), Target: discard{}, Outbox: discard{}, Lease: lease.Terms{Limit: time.Second, RunLimit: 2 * time.Second}})}
	capacity := job.Demand{CPUMilli: 1000, MemoryMB: 1000}
	s.table.Announce(now, runs.Announcement{Incarnation: runs.Incarnation{Name: "t", StartedMs: 1}, Service: "s", Capacity: capacity, ClockMs: 1, Seq: 1})
	call, _ := s.table.NextRenewal(now)
	s.table.Renewed(now, now, call, runs.Listing{ClockMs: 1})
	s.table.Tick(now)
	s.table.Connect(now, 1, wire.DescribedFeatures)
	offeredAt := now.Add(time.Millisecond)
	s.table.Receive(offeredAt, 1, &wire.LeasedToAgent{Reservations: []wire.Reservation{{Seq: 1, Job: "j", Demand: capacity, MaxWaitMs: 100, SlackMs: 100, Description: 1}}})
	g.Expect(s.table.HeldMilli()).To(Equal(1000))
	for s.table.HeldMilli() > 0 {
		now = now.Add(tickInterval(s))
		s.table.Tick(now)
	}
	g.Expect(now.Sub(offeredAt)).To(Equal(reservation.HoldTime))
}

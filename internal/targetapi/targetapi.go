// Package targetapi defines the HTTP protocol between an agent and the target on its
// host: the target sends announcements to the agent, and the agent runs tasks on it.
package targetapi

import (
	"math"
	"net/netip"
	"strconv"
	"time"

	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// Paths of the protocol: the agent serves AnnouncePath, the target RunPath.
const (
	AnnouncePath = "/v1/announce"
	RunPath      = "/run"
)

// Headers of a call to RunPath and of its response. HeaderNotRun in a response of status
// 503 guarantees that the task has not started.
const (
	HeaderTask   = "Camphorrack-Task" // "<job id>/<task index>"
	HeaderClass  = "Camphorrack-Class"
	HeaderNotRun = "Camphorrack-Not-Run"
)

// Timing of announcements. A target is unavailable once three announcements in a row are
// missing, so that a single lost or late one does not take a healthy target out of
// service.
const (
	AnnounceInterval = 500 * time.Millisecond
	SilenceTimeout   = 3 * AnnounceInterval
)

// Upper limits of an announcement's fields. They far exceed any real target and only
// reject mistakes.
const (
	maxSlots       = 1 << 12
	maxConnections = 1 << 16
	maxClasses     = 64
	maxSpeed       = 1000
	maxCapacity    = 1 << 30
)

// Announcement is the body of a request to AnnouncePath: the address, capacity and state
// of a target.
type Announcement struct {
	Name         string   `json:"name"`
	Address      string   `json:"address"`     // ip:port that serves RunPath
	Classes      []string `json:"classes"`     // of the tasks that it runs; empty: all
	Slots        int      `json:"slots"`       // number of tasks that it runs at once
	Speed        float64  `json:"speed"`       // relative to a target of speed 1
	Connections  int      `json:"connections"` // highest number that the agent may open
	CPUMilli     int      `json:"cpu_milli"`
	MemoryMB     int      `json:"memory_mb"`
	Accelerators int      `json:"accelerators"`
	Leaving      bool     `json:"leaving"` // it accepts no new tasks
}

// Validate checks that all fields are within their limits. The error is a *fault.Fault
// that names the first invalid field.
func (a *Announcement) Validate() error {
	addr, err := netip.ParseAddrPort(a.Address)
	switch {
	case a.Name == "" || len(a.Name) > job.MaxNameBytes:
		return fault.Input(fault.BadField, "name", "takes 1 to 64 bytes")
	case err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified():
		return fault.Input(fault.BadField, "address", "takes ip:port")
	case a.Slots < 1 || a.Slots > maxSlots:
		return outOfRange("slots", 1, maxSlots)
	case a.Connections < 1 || a.Connections > maxConnections:
		return outOfRange("connections", 1, maxConnections)
	case math.IsNaN(a.Speed) || a.Speed <= 0 || a.Speed > maxSpeed:
		return fault.Input(fault.BadField, "speed", "takes more than 0 and up to 1000")
	case len(a.Classes) > maxClasses:
		return fault.Input(fault.BadField, "classes", "takes up to 64 names")
	}
	return a.checkCapacity()
}

// checkCapacity checks the resources. The error is a *fault.Fault.
func (a *Announcement) checkCapacity() error {
	capacities := []struct {
		field string
		value int
	}{{"cpu_milli", a.CPUMilli}, {"memory_mb", a.MemoryMB}, {"accelerators", a.Accelerators}}
	for _, c := range capacities {
		if c.value < 0 || c.value > maxCapacity {
			return outOfRange(c.field, 0, maxCapacity)
		}
	}
	return nil
}

// outOfRange returns the fault of a number that is not within its limits, which are inclusive.
func outOfRange(field string, low, high int) error {
	return fault.Input(fault.BadField, field, "takes "+strconv.Itoa(low)+" to "+strconv.Itoa(high))
}

// WireTarget returns the announcement in the form that the agent reports to owners.
func (a *Announcement) WireTarget() wire.Target {
	return wire.Target{
		Name: a.Name, Classes: a.Classes, Slots: a.Slots, Speed: a.Speed, Leaving: a.Leaving,
		Capacity: job.Demand{CPUMilli: a.CPUMilli, MemoryMB: a.MemoryMB, Accelerators: a.Accelerators},
	}
}

package target

import (
	"github.com/camphorrack/camphorrack/internal/settings"
)

// Program is the program's name, in log lines and for settings.
const Program = "camphorrack-standin-target"

// Options configures a stand-in target.
type Options struct {
	Listen        string
	Agent         string // address of the agent to announce to
	Name          string
	Classes       string  // comma separated
	Slots         int     // maximum number of running tasks
	Speed         float64 // divides the tasks' run times
	DeclaredSpeed float64 // announced speed; 0 means Speed
	Connections   int     // maximum that the agent may open
	CPUMilli      int
	MemoryMB      int
	Accelerators  int
}

// Define registers the stand-in's settings in s and returns the Options that s fills when it
// is loaded.
func Define(s *settings.Set) *Options {
	o := &Options{}
	s.StringVar(&o.Listen, "listen", "127.0.0.1:0", "address for the agent's calls")
	s.StringVar(&o.Agent, "agent", "127.0.0.1:7500", "address of the agent to announce to")
	s.StringVar(&o.Name, "name", "standin", "the target's name")
	s.StringVar(&o.Classes, "classes", "", "task classes it serves, comma separated; empty means all")
	s.IntVar(&o.Slots, "slots", 8, "tasks it runs at a time")
	s.Float64Var(&o.Speed, "speed", 1, "real speed: a task's run time is divided by it")
	s.Float64Var(&o.DeclaredSpeed, "declared-speed", 0, "speed to announce (default: the real one)")
	s.IntVar(&o.Connections, "connections", 64, "most connections the agent may open")
	s.IntVar(&o.CPUMilli, "cpu-milli", 64000, "processors of the worker, in thousandths")
	s.IntVar(&o.MemoryMB, "memory-mb", 262144, "memory of the worker")
	s.IntVar(&o.Accelerators, "accelerators", 0, "accelerators of the worker")
	s.AddCheck("listen", func() string { return settings.CheckAddr(o.Listen) })
	s.AddCheck("agent", func() string { return settings.CheckAddr(o.Agent) })
	s.AddCheck("speed", func() string {
		if o.Speed <= 0 || o.DeclaredSpeed < 0 {
			return "speeds are above 0"
		}
		return ""
	})
	s.AddCheck("slots", func() string {
		if o.Slots < 1 {
			return "takes 1 or more"
		}
		return ""
	})
	return o
}

func (o *Options) classes() []string { return settings.SplitList(o.Classes) }

func (o *Options) announcedSpeed() float64 {
	if o.DeclaredSpeed == 0 {
		return o.Speed
	}
	return o.DeclaredSpeed
}

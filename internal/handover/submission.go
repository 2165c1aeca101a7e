package handover

import (
	"strings"
	"time"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/dispatch"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// Limits of a submission, those of the callers' interface.
const (
	maxIDBytes        = 64
	maxSpecBytes      = 4000
	maxSteps          = 200
	maxTasks          = 2000
	maxResourceAmount = 1 << 30
	maxEstimateMs     = 86_400_000
	maxRemaining      = 30 * time.Second
)

// truncate returns a text of at most n bytes. It is valid UTF-8: the decoder of frames rejects
// other texts, which would end the session with all its jobs.
func truncate(text string, n int) string {
	return strings.ToValidUTF8(text[:min(len(text), n)], "")
}

// validateSubmission returns a fault for a submission that no entry may have accepted from a
// caller. Its job has not run.
func validateSubmission(s *wire.Submission) *fault.Fault {
	switch {
	case s.ID == "" || len(s.ID) > maxIDBytes:
		return fault.Input(fault.BadID, "id", "has an invalid length")
	case len(s.Spec) > maxSpecBytes:
		return fault.Input(fault.BadField, "spec", "takes 4000 bytes at most")
	case len(s.Steps) == 0 || len(s.Steps) > maxSteps:
		return fault.Input(fault.BadTaskCount, "steps", "takes 1 to 200 steps")
	case s.RemainingMs <= 0 || s.RemainingMs > maxRemaining.Milliseconds():
		return fault.Input(fault.DeadlinePast, "remaining", "takes 1 to 30000 ms")
	}
	tasks := 0
	for i := range s.Steps {
		step := &s.Steps[i]
		if step.Count < 1 || step.Count > maxTasks-tasks {
			return fault.Input(fault.BadTaskCount, "steps.count", "takes 1 to 2000 tasks in all")
		}
		tasks += step.Count
		if !validStep(step, i) {
			return fault.Input(fault.BadField, "steps", "a step is out of bounds")
		}
	}
	return nil
}

// validStep reports whether the demand, the estimate and the dependencies of a step are valid. A
// step may depend only on earlier ones.
func validStep(step *wire.SubmissionStep, index int) bool {
	d := step.Demand
	if min(d.CPUMilli, d.MemoryMB, d.Accelerators) < 0 || max(d.CPUMilli, d.MemoryMB, d.Accelerators) > maxResourceAmount {
		return false
	}
	if !(step.EstimateMs >= 0 && step.EstimateMs <= maxEstimateMs) || step.MaxPerTarget < 0 {
		return false
	}
	for _, dependency := range step.DependsOn {
		if dependency < 0 || dependency >= index {
			return false
		}
	}
	return true
}

// NewJob returns the job of a valid submission. The configuration of this entry applies to it.
func NewJob(s *wire.Submission) *dispatch.Job {
	j := &dispatch.Job{ID: s.ID, Spec: s.Spec, Timeout: time.Duration(s.RemainingMs) * time.Millisecond, Steps: make([]dispatch.Step, len(s.Steps))}
	for i := range s.Steps {
		step := &s.Steps[i]
		j.Steps[i] = dispatch.Step{Count: step.Count, Demand: job.Demand(step.Demand), Estimate: clock.FromMillis(step.EstimateMs),
			DependsOn: step.DependsOn, Label: step.Label, DataRack: step.DataRack, MaxPerTarget: step.MaxPerTarget}
	}
	return j
}

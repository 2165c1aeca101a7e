package dispatch

import "github.com/camphorrack/camphorrack/internal/scheduler/runtimes"

// A target may go on with its runs while its host already has another one, which the agent then reports
// in its place. Such a run ends with its outcome like any other, but the load of the new target and what
// is known of that one say nothing about it.

// onFormerTarget reports whether an attempt was placed while its agent had another target.
func (at *attempt) onFormerTarget(a *agent) bool { return at.target != a.targetName() }

// targetRejecting reports whether the target of an attempt rejects new work, as far as is known.
func (at *attempt) targetRejecting() bool {
	return at.agent.load.Rejecting && !at.onFormerTarget(at.agent)
}

// hungShareAt returns the share of hung runs of the target of an attempt. That of a former target is not
// kept: it is an empty one.
func (at *attempt) hungShareAt(a *agent) *runtimes.HungShare {
	if at.onFormerTarget(a) {
		return &runtimes.HungShare{}
	}
	return &a.hungShare
}

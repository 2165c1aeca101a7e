package fairshare

import (
	"math"
	"time"
)

// Outcomes are decaying counts of admitted and refused jobs. The zero Outcomes is empty.
type Outcomes struct {
	admitted, refused float64
	updatedAt         time.Time
}

// Record counts a job.
func (o *Outcomes) Record(now time.Time, admitted bool) {
	o.decay(now)
	if admitted {
		o.admitted++
	} else {
		o.refused++
	}
}

// Rate returns the share of admitted jobs; 1 if there were none.
func (o *Outcomes) Rate(now time.Time) float64 {
	o.decay(now)
	if total := o.admitted + o.refused; total > minOutcomes {
		return o.admitted / total
	}
	return 1
}

// minOutcomes is the count below which a rate says nothing.
const minOutcomes = 0.5

func (o *Outcomes) decay(now time.Time) {
	if !o.updatedAt.IsZero() && now.After(o.updatedAt) {
		factor := math.Exp2(-now.Sub(o.updatedAt).Seconds() / outcomeHalfLife.Seconds())
		o.admitted *= factor
		o.refused *= factor
	}
	if now.After(o.updatedAt) {
		o.updatedAt = now
	}
}

// Parity compares the admissions of a group of jobs with those of a reference, and reduces the
// margin of the group while it is admitted less often. The zero Parity has no effect.
//
// With data centres the group is the jobs of the entry, and the reference is how an entry would
// decide on the same jobs that reaches the same agents without a delay of its own link. Peers with
// the same reports have the same margin, so that this is their mean rate of admissions, and no
// message is needed to learn it.
//
// With sizes the group is the largest tenth of a queue's jobs, and the reference is all of them.
type Parity struct {
	group, reference Outcomes
}

// reliefPerShortfall is how much of the margin is taken away for each part of the admissions that
// the group lacks: all of it if it lacks a quarter.
const reliefPerShortfall = 4

// minGroup is the number of the group's jobs, decayed, from which on a shortfall counts. With fewer
// jobs one refusal would switch the margin off.
const minGroup = 3

// RecordGroup counts a job of the group.
func (p *Parity) RecordGroup(now time.Time, admitted bool) { p.group.Record(now, admitted) }

// RecordReference counts a job of the reference.
func (p *Parity) RecordReference(now time.Time, admitted bool) { p.reference.Record(now, admitted) }

// Relief returns the factor, from 0 to 1, of the group's margin.
func (p *Parity) Relief(now time.Time) float64 {
	group, reference := p.group.Rate(now), p.reference.Rate(now)
	if p.group.admitted+p.group.refused < minGroup || reference <= 0 {
		return 1
	}
	return min(max(1-reliefPerShortfall*(reference-group)/reference, 0), 1)
}

// Sizes tells which jobs are the largest tenth of a queue. The zero Sizes is empty.
type Sizes struct {
	limit float64 // estimate of the size that nine jobs in ten don't reach
	count int
}

const (
	// largeShare is the share of jobs that count as large.
	largeShare = 0.1
	// sizeStep is the step per job of the estimated limit, as a share of it.
	sizeStep = 0.05
	// minSizes is the number of jobs from which on the estimate is used.
	minSizes = 20
)

// Add adds the size of a job and reports whether it is large. The limit rises with each larger job
// and falls with each smaller one, so that it settles where one job in ten is larger. In a queue
// whose jobs are all equal none counts as large.
func (s *Sizes) Add(size float64) bool {
	s.count = min(s.count+1, minSizes)
	if s.limit == 0 {
		s.limit = size
		return false
	}
	large := size > s.limit*(1+sizeStep)
	if size > s.limit {
		s.limit = min(size, s.limit*(1+sizeStep*(1-largeShare)))
	} else {
		s.limit = max(size, s.limit*(1-sizeStep*largeShare))
	}
	return large && s.count >= minSizes
}

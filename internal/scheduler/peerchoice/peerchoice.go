// Package peerchoice decides whether an entry hands a new submission over to another entry,
// to which one, and how many of them.
//
// It addresses three loads. In a rolling restart each entry refuses the submissions of the
// connections that are still open to it, although its peers have capacity. An entry that has
// lost the targets of a service refuses all jobs of that service, although other entries
// still reach them. And a small entry with a narrow link sends the body of a wide job once
// for each target, which makes the job late, while a peer with a wide link would get the body
// once and pass it on in time.
//
// The package has no network, clock and goroutine; callers pass in the time.
package peerchoice

import (
	"hash/fnv"
	"slices"
	"time"
)

// Reason states why a submission is handed over.
type Reason string

// Reasons for a hand-over. None means that the entry serves the submission itself.
const (
	None     Reason = ""
	Draining Reason = "draining"
	NoTarget Reason = "no_target"
	LinkBusy Reason = "link_busy"
)

const (
	// MaxSessions limits the sessions that an entry opens to peers. Three leave a choice when
	// one of them drains and another is full.
	MaxSessions = 3
	// MaxInFlight limits the submissions at one peer that it has not answered. It is the peak
	// of an entry, 200 jobs a second, for 1.5 s, which is how long callers wait.
	MaxInFlight = 300
	// maxUnanswered is the number of unanswered jobs at which a peer counts as full. It is
	// below the 4,000 at which entries refuse, because reports of it are delayed.
	maxUnanswered = 3500
	// processorMs is the processor time that an entry takes for a job, in milliseconds.
	processorMs = 0.3
	// unknownRoundTripMs is assumed for a peer whose dial was not measured; it is that
	// between two data centres with the wake-up of both processes.
	unknownRoundTripMs = 3
	// redialPause is how long an address is not dialled again after a failed dial, or after
	// its entry could take no submissions. A restart of an entry takes a few seconds.
	redialPause = 2 * time.Second
	// minBudget and the fraction 1/budgetDivisor of the admissions bound the submissions that
	// are handed over per second outside of a drain. An entry with a wrong view of its
	// targets or link must not move its whole load to its peers.
	minBudget     = 5
	budgetDivisor = 4
)

// Outlook describes what the entry itself could do with a new submission.
type Outlook struct {
	Draining bool // the entry drains
	NoTarget bool // no target of the job's service can be reached, none of them for an evacuation
	// ExitMs is the time until the process of a draining entry exits; 0: not known. LimitMs is
	// the latest predicted end with which a peer admits the job. A submission whose answer
	// would be lost by the exit is not handed over.
	ExitMs, LimitMs float64
	SlackMs         float64 // how much later than now the job may start and meet its objective
	// Link is the effect of the entry's own link; the zero value means that it is negligible.
	Link Link
	// BodyBytes and OrderBytes are the bytes of the submission, and of all orders of its tasks.
	BodyBytes, OrderBytes int
}

// Link is the effect of the entry's own link on a job.
type Link struct {
	EndMs     float64 // predicted end from now
	FreeEndMs float64 // predicted end if the link took no time
	LimitMs   float64 // latest predicted end with which the job is admitted
	WaitMs    float64 // how long new data waits for the link
	BodyMs    float64 // how long the link takes to send the body once
}

// Reason returns why the submission should be handed over, or None.
func (o *Outlook) Reason() Reason {
	switch {
	case o.Draining && o.ExitMs > 0 && o.LimitMs > o.ExitMs:
		return None
	case o.Draining:
		return Draining
	case o.NoTarget:
		return NoTarget
	case o.Link.EndMs > o.Link.LimitMs && o.Link.FreeEndMs <= o.Link.LimitMs:
		return LinkBusy
	}
	return None
}

// InTime reports whether a job can still meet its objective if it starts elsewhere after
// delayMs from the time of the outlook.
func (o *Outlook) InTime(delayMs float64) bool {
	if o.Reason() == LinkBusy {
		return o.Link.FreeEndMs+o.Link.WaitMs+o.Link.BodyMs+delayMs <= o.Link.LimitMs
	}
	return delayMs <= o.SlackMs
}

// Peer is an entry to which a session is open. All fields but the last three are from its last
// report.
type Peer struct {
	Draining       bool
	Targets        int
	LinkMbps       float64 // 0: unknown or unlimited
	LinkWaitMs     float64
	Unanswered     int
	ProcessorShare float64 // 0: unknown

	InFlight    int     // submissions handed over to it that it has not answered
	RoundTripMs float64 // 0: unknown
	Excluded    bool    // it has refused this submission already
}

// Usable reports whether the peer can take submissions at all.
func (p *Peer) Usable() bool { return !p.Draining && p.Targets > 0 }

// delayMs predicts how long after now the orders of a job of so many bytes have left the
// peer. Submissions that it has not answered count as if they were before it: the shares of
// peers so follow their processors and links, and a peer that answers slowly gets fewer.
func (p *Peer) delayMs(orderBytes int) float64 {
	jobMs := processorMs
	if p.ProcessorShare > 0 {
		jobMs = processorMs / min(p.ProcessorShare, 1)
	}
	if p.LinkMbps > 0 {
		const bytesPerMsPerMbps = 125
		jobMs = max(jobMs, float64(orderBytes)/(p.LinkMbps*bytesPerMsPerMbps))
	}
	roundTripMs := p.RoundTripMs
	if roundTripMs <= 0 {
		roundTripMs = unknownRoundTripMs
	}
	return roundTripMs + p.LinkWaitMs + float64(p.InFlight+1)*jobMs
}

// Choose returns the index of the peer that gets the submission: the one with the shortest
// predicted delay among those with which the job can still be in time; -1 if there is none.
// elapsedMs is the time since the outlook.
func Choose(o *Outlook, elapsedMs float64, peers []Peer) int {
	best, bestMs := -1, 0.0
	for i := range peers {
		p := &peers[i]
		if p.Excluded || !p.Usable() || p.InFlight >= MaxInFlight || p.Unanswered >= maxUnanswered {
			continue
		}
		delayMs := p.delayMs(o.OrderBytes)
		if o.InTime(elapsedMs+delayMs) && (best < 0 || delayMs < bestMs) {
			best, bestMs = i, delayMs
		}
	}
	return best
}

// Address is a known entry without a session.
type Address struct {
	Addr, DataCentre string
	DialMs           float64   // measured time of the last dial; 0: unknown
	FailedAt         time.Time // when the last dial failed or its entry could take nothing; zero: it served last time
}

// Dials returns the addresses to dial now, with so many sessions open or being dialled: those
// of the own data centre first, then by the time of their last dial. Those that failed last time
// come after all others: addresses of hosts that no longer exist stay known, and would take the
// place of those that serve. Addresses that are equal have another order at each entry, so that
// the entries that drain at the same time don't all choose the same peers; self is the entry's
// own address.
func Dials(now time.Time, self, dataCentre string, known []Address, open int) []string {
	candidates := slices.DeleteFunc(slices.Clone(known), func(a Address) bool {
		return a.Addr == self || !a.FailedAt.IsZero() && now.Sub(a.FailedAt) < redialPause
	})
	slices.SortFunc(candidates, func(a, b Address) int {
		if aFailed, bFailed := !a.FailedAt.IsZero(), !b.FailedAt.IsZero(); aFailed != bFailed {
			if bFailed {
				return -1
			}
			return 1
		}
		switch aLocal, bLocal := a.DataCentre == dataCentre, b.DataCentre == dataCentre; {
		case aLocal != bLocal && aLocal, aLocal == bLocal && a.DialMs < b.DialMs:
			return -1
		case aLocal != bLocal, a.DialMs > b.DialMs:
			return 1
		}
		if pairHash(self, a.Addr) < pairHash(self, b.Addr) {
			return -1
		}
		return 1
	})
	var addrs []string
	for i := 0; i < len(candidates) && open+i < MaxSessions; i++ {
		addrs = append(addrs, candidates[i].Addr)
	}
	return addrs
}

// pairHash returns a number that differs for each pair of addresses.
func pairHash(self, addr string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(self + " " + addr)) // never fails
	return h.Sum64()
}

// Budget limits the submissions that are handed over outside of a drain. The zero Budget is
// ready for use.
type Budget struct {
	admitted, handedOver window
}

// RecordAdmissions records that so many jobs were admitted.
func (b *Budget) RecordAdmissions(now time.Time, n int) { b.admitted.add(now, n) }

// Take reports whether one more submission may be handed over for the reason now, and if so
// counts it.
func (b *Budget) Take(now time.Time, reason Reason) bool {
	if reason == Draining {
		return true
	}
	if b.handedOver.sum(now) >= max(minBudget, b.admitted.sum(now)/budgetDivisor) {
		return false
	}
	b.handedOver.add(now, 1)
	return true
}

// window counts the events of the last second, in slots of a tenth.
type window struct {
	counts [10]int
	slot   int64 // of the last event
}

const slotLength = 100 * time.Millisecond

// advance clears the slots that have left the window.
func (w *window) advance(now time.Time) {
	slot := now.UnixNano() / int64(slotLength)
	for ; w.slot < slot; w.slot++ {
		if slot-w.slot > int64(len(w.counts)) {
			w.slot = slot - int64(len(w.counts))
		}
		w.counts[(w.slot+1)%int64(len(w.counts))] = 0
	}
}

func (w *window) add(now time.Time, n int) {
	w.advance(now)
	w.counts[w.slot%int64(len(w.counts))] += n
}

func (w *window) sum(now time.Time) (n int) {
	w.advance(now)
	for _, count := range w.counts {
		n += count
	}
	return n
}

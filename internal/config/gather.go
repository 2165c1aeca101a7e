package config

import "time"

const (
	// gatherFor is how long a new process listens to its peers before it takes a
	// configuration from one: agents dial an entry that is back at the latest after 2 s.
	gatherFor = 2500 * time.Millisecond
	// gatherLimit bounds the wait for the newest configuration that a peer has named
	// but not sent; that peer may have ended.
	gatherLimit = 12 * time.Second
)

// gathering is what a new process has heard from peers while it can't read the log.
//
// Taking the first peer's configuration as it comes, a process that is started in an
// outage could run for moments with an older one than its predecessor at the same
// address had: operators would see a limit come back that they had lifted.
type gathering struct {
	until, limit time.Time
	best         *State
	highest      uint64 // position of the newest state that a peer has named
}

// Gather makes the holder put off what peers offer until it has heard of the newest
// there is; the log ends it at once. Call Settle from time to time afterwards.
func (h *Holder) Gather() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	h.gather = &gathering{until: now.Add(gatherFor), limit: now.Add(gatherLimit)}
}

// heardOf notes the position of the state that a peer holds.
func (h *Holder) heardOf(mark uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.gather != nil {
		h.gather.highest = max(h.gather.highest, mark)
	}
}

// Settle ends the gathering when it is time, and puts the newest state heard in
// force. It reports whether the gathering is over.
func (h *Holder) Settle() bool {
	h.mu.Lock()
	g, now := h.gather, h.clock.Now()
	if g == nil {
		h.mu.Unlock()
		return true
	}
	complete := g.best != nil && g.best.AsOf >= g.highest || g.highest == 0
	if now.Before(g.until) || !complete && now.Before(g.limit) {
		h.mu.Unlock()
		return false
	}
	h.gather = nil
	h.mu.Unlock()
	if g.best != nil {
		h.Offer(g.best, "peer")
	}
	return true
}

// keep holds a peer's state back while gathering; the holder is locked.
func (g *gathering) keep(s *State) {
	if g.best == nil || s.Version > g.best.Version || s.Version == g.best.Version && s.AsOf > g.best.AsOf {
		g.best = s
	}
}

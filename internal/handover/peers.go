package handover

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/dispatch"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/scheduler/peerchoice"
	"github.com/camphorrack/camphorrack/internal/session"
	"github.com/camphorrack/camphorrack/internal/wire"
)

const (
	// sessionWait is how long a submission waits at most for a session that is being opened,
	// and 1/sessionWaitDivisor the part of its slack that it waits. A dial within a region takes
	// some milliseconds; one to a host without power delays the jobs that are served here then.
	sessionWait        = 100 * time.Millisecond
	sessionWaitDivisor = 4
	// neededWindow is how long after the last need sessions are opened in place of those
	// that have ended.
	neededWindow = time.Second
	// maxDetailBytes and maxRetryAfter limit what an answer of a peer may contain.
	maxDetailBytes = 400
	maxRetryAfter  = time.Hour
)

// peer is a known entry and the session with it, if there is one. It is guarded by the
// endpoint's mutex.
type peer struct {
	addr, dataCentre string
	dialTime         time.Duration // of the last dial
	failedAt         time.Time     // see peerchoice.Address

	dialFailed  bool // the last dial failed
	dialling    bool // a goroutine dials it or serves its session
	open        bool // its first frame was received
	conn        *session.ToEntryConn
	incarnation job.Incarnation
	state       wire.HandoverState
	flights     map[uint64]*Flight // submissions without an answer, by number
	lastNumber  uint64             // of the session
	usedAt      time.Time
	closing     string // why this entry closes the session
	gone        bool   // it is removed when the session has ended
}

// protocolError reports a frame that breaks the protocol between entries.
type protocolError struct{ reason string }

// Error implements error.
func (e *protocolError) Error() string { return "hand-over: " + e.reason }

// Learn adds the addresses of entries, or their data centres.
func (e *Endpoint) Learn(entries []wire.Peer) {
	if len(entries) == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, entry := range entries {
		p := e.peers[entry.Addr]
		switch {
		case entry.Addr == "" || entry.Addr == e.options.Addr:
		case p == nil:
			e.peers[entry.Addr] = &peer{addr: entry.Addr, dataCentre: entry.DataCentre}
		case entry.DataCentre != "":
			p.dataCentre = entry.DataCentre
		}
		e.peers[entry.Addr].gone = false
	}
}

// Forget removes addresses at which there is no entry any more. One with a session stays until that
// has ended.
func (e *Endpoint) Forget(addrs []string) {
	if len(addrs) == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, addr := range addrs {
		switch p := e.peers[addr]; {
		case p == nil:
		case p.dialling:
			p.gone = true
		default:
			delete(e.peers, addr)
		}
	}
}

// send sends a submission to the best peer, and opens sessions if there is none. It returns
// false if no peer can take it.
func (e *Endpoint) send(ctx context.Context, f *Flight, callerLeft func() bool) bool {
	timer := time.NewTimer(min(sessionWait, clock.FromMillis(f.outlook.SlackMs/sessionWaitDivisor)))
	defer timer.Stop()
	for {
		changed, sent := e.trySend(f, callerLeft)
		if changed == nil {
			return sent
		}
		select {
		case <-changed:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// trySend sends a submission to the best peer. If there is none but a session is being opened, it
// returns a channel that is closed when one has opened or failed.
func (e *Endpoint) trySend(f *Flight, callerLeft func() bool) (changed <-chan struct{}, sent bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	// A confirmation to the peer may have been queued before the lock was acquired, so the caller is
	// verified after that.
	if callerLeft() || f.finished || !now.Before(f.deadline) {
		return nil, false
	}
	if p := e.choose(now, f); p != nil {
		e.sendTo(now, p, f)
		return nil, true
	}
	e.dial(now)
	for _, p := range e.peers {
		// A submission doesn't wait for an entry that did not respond last time: one that is cut off
		// from its peers always dials some of them.
		if p.dialling && !p.open && !p.dialFailed {
			return e.changed, false
		}
	}
	return nil, false
}

// choose returns the peer for a submission, or nil. The caller holds the lock.
func (e *Endpoint) choose(now time.Time, f *Flight) *peer {
	var open []*peer
	for _, p := range e.peers {
		if p.open && p.closing == "" && p.conn.Err() == nil {
			open = append(open, p)
		}
	}
	slices.SortFunc(open, func(a, b *peer) int { return cmp.Compare(a.addr, b.addr) })
	var choices []peerchoice.Peer
	for _, p := range open {
		excluded := false
		for _, addr := range f.excluded {
			excluded = excluded || addr == p.addr
		}
		choices = append(choices, peerchoice.Peer{
			Draining: p.state.Draining, Targets: p.state.Targets, LinkMbps: p.state.LinkMbps, LinkWaitMs: p.state.LinkWaitMs,
			Unanswered: p.state.Unanswered, ProcessorShare: p.state.ProcessorShare,
			InFlight: len(p.flights), RoundTripMs: clock.Millis(p.dialTime), Excluded: excluded,
		})
	}
	i := peerchoice.Choose(&f.outlook, clock.Millis(now.Sub(f.startedAt)), choices)
	if i < 0 {
		return nil
	}
	return open[i]
}

// sendTo sends a submission. From now on the job may run at the peer, until it answers
// otherwise. The caller holds the lock.
func (e *Endpoint) sendTo(now time.Time, p *peer, f *Flight) {
	p.lastNumber++
	p.usedAt, f.peer, f.number = now, p, p.lastNumber
	p.flights[f.number] = f
	s := f.submission
	s.Number, s.RemainingMs = f.number, f.deadline.Sub(now).Milliseconds()
	e.counts.Sent.Add(1)
	event.Log(e.options.Log, event.JobHandedOver, "job", s.ID, "queue", s.Queue, "peer", p.addr, "reason", string(f.reason),
		"after_ms", clock.Millis(now.Sub(f.startedAt)), "in_flight", len(p.flights))
	p.conn.Send(&wire.ToEntry{Handover: &wire.HandoverRequest{Submissions: []wire.Submission{s}}})
}

// dial starts the sessions that are missing. The caller holds the lock.
func (e *Endpoint) dial(now time.Time) {
	if e.ctx.Err() != nil {
		return
	}
	var known []peerchoice.Address
	open := 0
	for _, p := range e.peers {
		if p.dialling {
			open++
			continue
		}
		known = append(known, peerchoice.Address{Addr: p.addr, DataCentre: p.dataCentre, DialMs: clock.Millis(p.dialTime), FailedAt: p.failedAt})
	}
	if open >= peerchoice.MaxSessions {
		return
	}
	for _, addr := range peerchoice.Dials(now, e.options.Addr, e.options.DataCentre, known, open) {
		p := e.peers[addr]
		p.dialling, p.closing = true, ""
		go e.runSession(p)
	}
}

// runSession dials a peer and serves the session until it ends.
func (e *Endpoint) runSession(p *peer) {
	startedAt := time.Now()
	dialCtx, cancel := context.WithTimeout(e.ctx, dialTimeout)
	defer cancel()
	conn, err := session.DialPath(dialCtx, p.addr, session.EntryPath, e.options.Session)
	if err != nil {
		e.sessionEnded(p, err)
		return
	}
	e.mu.Lock()
	p.conn, p.flights, p.lastNumber, p.dialTime = conn, map[uint64]*Flight{}, 0, time.Since(startedAt)
	e.mu.Unlock()
	stop := context.AfterFunc(e.ctx, func() { conn.Close(nil) })
	defer stop()
	greeting := time.AfterFunc(dialTimeout, func() { e.closeUnopened(p, conn) })
	defer greeting.Stop()
	conn.Send(&wire.ToEntry{Handover: &wire.HandoverRequest{Hello: &wire.HandoverHello{
		Version: wire.Version, Incarnation: e.options.Incarnation, DataCentre: e.options.DataCentre,
	}}})
	e.sessionEnded(p, conn.Serve(func(f *wire.ToAgent) error { return e.receive(p, f) }))
}

// closeUnopened closes a connection whose peer has not sent its first frame.
func (e *Endpoint) closeUnopened(p *peer, conn *session.ToEntryConn) {
	e.mu.Lock()
	open := p.open
	e.mu.Unlock()
	if !open {
		conn.Close(&protocolError{"the peer has sent no frame"})
	}
}

// sessionEnded removes a session, or records a failed dial. The outcome of submissions without
// an answer is unknown, because the peer may have read them.
func (e *Endpoint) sessionEnded(p *peer, err error) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	reason := p.closing
	if reason == "" {
		reason = "ended"
		p.failedAt = now
		if p.conn == nil {
			reason = "dial_failed"
		}
	}
	event.Log(e.options.Log, event.EntrySession, "peer", p.addr, "state", "closed", "reason", reason, "error", err.Error(), "unanswered", len(p.flights))
	for _, f := range p.flights {
		e.counts.Lost.Add(1)
		event.Log(e.options.Log, event.HandoverFailed, "job", f.submission.ID, "peer", p.addr, "reason", "session_ended")
		e.settle(now, f, verdict{true, dispatch.Answer{Kind: dispatch.AnswerUnknown, Fault: fault.New(fault.OutcomeUnknown, "the entry that took it can't be reached")}})
	}
	p.dialFailed = !p.open
	p.conn, p.flights, p.dialling, p.open = nil, nil, false, false
	if p.gone {
		delete(e.peers, p.addr)
	}
	e.notify()
}

// notify wakes the submissions that wait for a session. The caller holds the lock.
func (e *Endpoint) notify() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// receive handles a frame of a peer. An error closes the connection.
func (e *Endpoint) receive(p *peer, f *wire.ToAgent) error {
	if f.IsHeartbeat() {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !p.open {
		return e.openSession(p, f)
	}
	if f.Handover == nil {
		return &protocolError{"a frame without content for an entry"}
	}
	if f.Handover.State != nil {
		if err := validateState(f.Handover.State); err != nil {
			return err
		}
		p.state = *f.Handover.State
	}
	for i := range f.Handover.Answers {
		if err := e.receiveAnswer(p, &f.Handover.Answers[i]); err != nil {
			return err
		}
	}
	return nil
}

// openSession handles the first frame of a peer. The caller holds the lock.
func (e *Endpoint) openSession(p *peer, f *wire.ToAgent) error {
	w := f.Welcome
	switch {
	case w == nil || f.Handover == nil || f.Handover.State == nil:
		return &protocolError{"the first frame has no welcome or no state"}
	case w.Version != wire.Version:
		return &protocolError{"unsupported protocol version"}
	case w.Incarnation == e.options.Incarnation:
		return &protocolError{"the address is one of this entry"}
	}
	for _, other := range e.peers {
		if other.open && other.incarnation == w.Incarnation {
			return &protocolError{"a session with this entry is open at another address"}
		}
	}
	if err := validateState(f.Handover.State); err != nil {
		return err
	}
	p.open, p.incarnation, p.state, p.usedAt = true, w.Incarnation, *f.Handover.State, time.Now()
	p.failedAt = time.Time{}
	p.conn.Confirm(p.conn.ReceivedSeq()) // the callers are verified again before a submission is sent
	event.Log(e.options.Log, event.EntrySession, "peer", p.addr, "state", "opened", "reason", "needed", "data_centre", w.DataCentre,
		"dial_ms", clock.Millis(p.dialTime), "draining", p.state.Draining, "targets", p.state.Targets)
	e.notify()
	return nil
}

// validateState returns an error for a load that no peer can have.
func validateState(s *wire.HandoverState) error {
	for _, v := range []float64{s.LinkMbps, s.LinkWaitMs, s.ProcessorShare} {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return &protocolError{"a number of the state is not valid"}
		}
	}
	if s.Targets < 0 || s.Unanswered < 0 {
		return &protocolError{"a count of the state is negative"}
	}
	return nil
}

// receiveAnswer handles an answer. Those to submissions that were cancelled are ignored. The
// caller holds the lock.
func (e *Endpoint) receiveAnswer(p *peer, a *wire.HandoverAnswer) error {
	answer, err := parseAnswer(a)
	switch {
	case err != nil:
		return err
	case a.Number == 0 || a.Number > p.lastNumber:
		return &protocolError{"an answer to no submission"}
	}
	f := p.flights[a.Number]
	if f == nil {
		return nil
	}
	now := time.Now()
	delete(p.flights, a.Number)
	p.usedAt = now
	if answer.Kind == dispatch.AnswerNotRun {
		e.counts.Refused.Add(1)
		f.excluded = append(f.excluded, p.addr)
		event.Log(e.options.Log, event.HandoverFailed, "job", f.submission.ID, "peer", p.addr, "reason", answer.Fault.Name, "detail", answer.Fault.Detail,
			"after_ms", clock.Millis(now.Sub(f.startedAt)))
		// A job that may have crashed its targets is not tried elsewhere.
		e.settle(now, f, verdict{answer.Fault.Code == fault.Suspected, answer})
		return nil
	}
	e.counts.Answered.Add(1)
	e.settle(now, f, verdict{true, answer})
	return nil
}

// parseAnswer validates an answer of a peer.
func parseAnswer(a *wire.HandoverAnswer) (dispatch.Answer, error) {
	retryAfter := time.Duration(a.RetryAfterMs) * time.Millisecond
	answer := dispatch.Answer{Kind: dispatch.AnswerKind(a.Kind)}
	switch {
	case len(a.Detail) > maxDetailBytes, a.RetryAfterMs < 0, a.RetryAfterMs > maxRetryAfter.Milliseconds():
		return answer, &protocolError{"an answer is out of bounds"}
	case answer.Kind < dispatch.AnswerComplete, answer.Kind > dispatch.AnswerUnknown:
		return answer, &protocolError{"an answer of an unknown kind"}
	case answer.Kind >= dispatch.AnswerNotRun && a.Fault <= 0:
		return answer, &protocolError{"an answer without a reason"}
	case answer.Kind == dispatch.AnswerNotRun:
		answer.Fault, answer.RetryAfter = fault.Refused(fault.Code(a.Fault), a.Detail, retryAfter), retryAfter
	case a.Fault > 0:
		answer.Fault = fault.New(fault.Code(a.Fault), a.Detail)
	}
	return answer, nil
}

// closeIfUnused closes a session that was unused for idleTimeout or whose peer can take
// nothing, unless a submission is in flight on it. The caller holds the lock.
func (e *Endpoint) closeIfUnused(now time.Time, p *peer) {
	if !p.open || p.closing != "" || len(p.flights) > 0 {
		return
	}
	usable := peerchoice.Peer{Draining: p.state.Draining, Targets: p.state.Targets}
	switch {
	case now.Sub(p.usedAt) >= idleTimeout:
		p.closing = "unused"
	case !usable.Usable():
		p.closing, p.failedAt = "peer_takes_nothing", now
	default:
		return
	}
	p.conn.Close(errors.New("the session is not needed"))
}

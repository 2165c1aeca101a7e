package config

import (
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/event"
)

// Sources of a configuration: read from the log, received from a peer, or the built-in
// defaults.
const (
	SourceLog     = "log"
	SourcePeer    = "peer"
	SourceBuiltIn = "built-in"
)

// Applied is the configuration in force on a process.
type Applied struct {
	State    *State
	Settings Settings  // resolved for the process's location
	At       time.Time // when it was applied
	Source   string    // SourceLog, SourcePeer or SourceBuiltIn
}

// Replica is a process's copy of the configuration in force. Its version only increases:
// otherwise a delayed or repeated message, an outdated peer or a restarted reader could
// restore a limit that an operator has already lifted. It is safe for concurrent use.
type Replica struct {
	location Location
	clock    clock.Clock
	log      logr.Logger

	mu          sync.Mutex
	applied     *Applied
	tail        tail
	confirmedAt time.Time
	staleLogged bool
	watchers    []func(*Applied)
}

// NewReplica returns a replica with the built-in defaults, for a process at location.
func NewReplica(location Location, c clock.Clock, log logr.Logger) *Replica {
	r := &Replica{location: location, clock: c, log: log, confirmedAt: c.Now()}
	r.applied = &Applied{State: &State{}, Settings: (&State{}).Resolve(location), At: c.Now(), Source: SourceBuiltIn}
	return r
}

// Get returns the configuration in force, which must not be modified.
func (r *Replica) Get() *Applied {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.applied
}

// Resolve returns the settings in force at another location, such as that of a target.
func (r *Replica) Resolve(l Location) Settings { return r.Get().State.Resolve(l) }

// Watch calls f with the configuration in force, at once and after each change. Calls are
// made in order of version, on the goroutine that applied the change. f must not block
// or call the replica.
func (r *Replica) Watch(f func(*Applied)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchers = append(r.watchers, f)
	f(r.applied)
}

// ApplyState puts a state in force if its version is higher than the current one, and
// reports whether it did. A state of the same version only raises the position.
func (r *Replica) ApplyState(s *State, source string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.applied.State
	if s.Version < current.Version || s.Version == current.Version && s.AsOf <= current.AsOf {
		return false
	}
	if s.Version == current.Version {
		updated := *r.applied
		updated.State = s
		r.applied = &updated
		return false
	}
	r.applied = &Applied{State: s, Settings: s.Resolve(r.location), At: r.clock.Now(), Source: source}
	event.Log(r.log, event.ConfigApplied, "version", s.Version, "change", s.ChangeID,
		"author", s.Author, "reason", s.Reason, "source", source)
	for _, f := range r.watchers {
		f(r.applied)
	}
	return true
}

// MarkCurrent records that the configuration in force was confirmed to be current just
// now: for an entry by the log, for an agent by an entry.
func (r *Replica) MarkCurrent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmedAt = r.clock.Now()
}

// Age returns the time since the configuration was last confirmed to be current.
func (r *Replica) Age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Now().Sub(r.confirmedAt)
}

// LogIfStale logs an event if the configuration has not been confirmed to be current for
// the duration after. The event is logged once, and again only after a call with a lower
// age. Without it, a process that is cut off would apply outdated limits unnoticed.
func (r *Replica) LogIfStale(after time.Duration) {
	age := r.Age()
	r.mu.Lock()
	defer r.mu.Unlock()
	if age < after {
		r.staleLogged = false
		return
	}
	if r.staleLogged {
		return
	}
	r.staleLogged = true
	event.Log(r.log, event.ConfigStale, "age_ms", age.Milliseconds(), "version", r.applied.State.Version)
}

// Position returns the position of the state in the log, which increases with the
// version. Processes send it to their peers on frames that are sent anyway.
func (r *Replica) Position() uint64 { return r.Get().State.AsOf }

// EncodeUpdate returns an encoded Update for a peer at position. The error is a
// *CodecError.
func (r *Replica) EncodeUpdate(position uint64) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return encodeUpdate(r.applied.State, &r.tail, position)
}

// ApplyUpdate applies an encoded update from a peer. If it returns an error, which is a
// *CodecError or a *FormatError, nothing was applied.
func (r *Replica) ApplyUpdate(b []byte) error {
	u, err := DecodeUpdate(b)
	if err != nil {
		return err
	}
	s, err := u.apply(r.Get().State)
	if err != nil || s == nil {
		return err
	}
	if u.State == nil {
		r.mu.Lock()
		r.tail.extend(u.From, u.records(), u.Next)
		r.mu.Unlock()
	}
	r.ApplyState(s, SourcePeer)
	return nil
}

// ApplyRead applies a state that was read from the log, as ApplyState does. The newest
// records of the read are kept for updates to peers.
func (r *Replica) ApplyRead(s *State, b Batch) bool {
	r.mu.Lock()
	r.tail.extend(b.From, b.Records, s.AsOf)
	r.mu.Unlock()
	return r.ApplyState(s, SourceLog)
}

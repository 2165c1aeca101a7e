package config

import (
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/event"
)

// Sources of a configuration.
const (
	SourceLog     = "log"
	SourcePeer    = "peer"
	SourceBuiltIn = "built-in"
)

// Applied is what is in force on a process.
type Applied struct {
	State    *State
	Settings Settings // resolved for this process
	At       time.Time
	Source   string // where it was heard
}

// Replica is the configuration in force on one process. It takes rising versions
// only: a late or repeated message, a peer that is behind or a restarted reader
// would otherwise bring back a limit that an operator has already lifted. It is
// safe for concurrent use.
type Replica struct {
	where Location
	clock clock.Clock
	log   logr.Logger

	mu        sync.Mutex
	applied   *Applied
	tail      tail
	confirmed time.Time
	saidStale bool
	watchers  []func(*Applied)
}

// NewReplica returns a holder of the built-in defaults, for the process at where.
func NewReplica(where Location, c clock.Clock, log logr.Logger) *Replica {
	h := &Replica{where: where, clock: c, log: log, confirmed: c.Now()}
	h.applied = &Applied{State: &State{}, Settings: (&State{}).Resolve(where), At: c.Now(), Source: SourceBuiltIn}
	return h
}

// Get returns what is in force; it must not be changed.
func (h *Replica) Get() *Applied {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.applied
}

// Resolve returns the settings in force at another place, such as a target.
func (h *Replica) Resolve(w Location) Settings { return h.Get().State.Resolve(w) }

// Watch calls f with what is in force now and after each change. The calls come in
// order of version, on the goroutine that brought the change, and f must not
// block or call the holder.
func (h *Replica) Watch(f func(*Applied)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.watchers = append(h.watchers, f)
	f(h.applied)
}

// ApplyState puts a state in force where its version is higher than the one in force,
// and reports whether it did. The same version at a later position is only noted.
func (h *Replica) ApplyState(s *State, source string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	current := h.applied.State
	if s.Version < current.Version || s.Version == current.Version && s.AsOf <= current.AsOf {
		return false
	}
	if s.Version == current.Version {
		noted := *h.applied
		noted.State = s
		h.applied = &noted
		return false
	}
	h.applied = &Applied{State: s, Settings: s.Resolve(h.where), At: h.clock.Now(), Source: source}
	event.Log(h.log, event.ConfigApplied, "version", s.Version, "change", s.ChangeID,
		"author", s.Author, "reason", s.Reason, "source", source)
	for _, f := range h.watchers {
		f(h.applied)
	}
	return true
}

// MarkCurrent notes that what is in force was just found to be current: by an entry in
// the log, by an agent at an entry.
func (h *Replica) MarkCurrent() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.confirmed = h.clock.Now()
}

// Age is how long ago this process last found its configuration to be current.
func (h *Replica) Age() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.clock.Now().Sub(h.confirmed)
}

// LogIfStale logs once when this process has not found its configuration to be
// current for so long, and again only after it had. Without it, one process that
// lost touch would quietly go on with old limits.
func (h *Replica) LogIfStale(after time.Duration) {
	age := h.Age()
	h.mu.Lock()
	defer h.mu.Unlock()
	if age < after {
		h.saidStale = false
		return
	}
	if h.saidStale {
		return
	}
	h.saidStale = true
	event.Log(h.log, event.ConfigStale, "age_ms", age.Milliseconds(), "version", h.applied.State.Version)
}

// Position is what a process tells its peers on frames that are sent anyway: the
// position of its state, which rises with the version.
func (h *Replica) Position() uint64 { return h.Get().State.AsOf }

// EncodeUpdate returns, encoded, what a peer at mark lacks.
func (h *Replica) EncodeUpdate(mark uint64) ([]byte, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return encodeUpdate(h.applied.State, &h.tail, mark)
}

// ApplyUpdate applies an update from a peer. The error is a *CodecError or a
// *FormatError, and then nothing was applied.
func (h *Replica) ApplyUpdate(b []byte) error {
	u, err := DecodeUpdate(b)
	if err != nil {
		return err
	}
	s, err := u.apply(h.Get().State)
	if err != nil || s == nil {
		return err
	}
	if u.State == nil {
		h.mu.Lock()
		h.tail.extend(u.From, u.records(), u.Next)
		h.mu.Unlock()
	}
	h.ApplyState(s, SourcePeer)
	return nil
}

// ApplyRead offers a state that was read from the log, with the records of the read,
// which are kept for peers that lack only those.
func (h *Replica) ApplyRead(s *State, b Batch) bool {
	h.mu.Lock()
	h.tail.extend(b.From, b.Records, s.AsOf)
	h.mu.Unlock()
	return h.ApplyState(s, SourceLog)
}

package config

import (
	"context"

	"github.com/camphorrack/camphorrack/internal/fault"
)

// Resolution says what became of a change.
type Resolution struct {
	Version uint64 // the version it made
	Current *State // what is in force now
}

// Resolve tells what became of a change whose outcome was undecided, by reading
// only. Errors: a *ConflictError where it is void for good, or a *fault.Fault:
// ConfigUndecided where it has not been seen and may still come or where the log
// no longer holds enough to tell, ConfigNotTaken where the log can't be read.
func (p *Publisher) Resolve(ctx context.Context, id string, base uint64) (*Resolution, error) {
	f, verdicts, err := p.Load(ctx)
	if err != nil {
		return nil, err
	}
	current := f.State()
	if state, err, found := find(verdicts, id, base); found {
		if err != nil {
			return nil, err
		}
		return &Resolution{state.Version, current}, nil
	}
	switch {
	case current.ChangeID == id:
		return &Resolution{current.Version, current}, nil
	case current.Version == base:
		return nil, undecidedFault(id, base, "it has not appeared in the log; publishing it anew on the same version is safe, one of the two at most is accepted")
	case f.lowest > base:
		return nil, fault.Newf(fault.ConfigUndecided,
			"the log no longer holds what followed on version %d; compare with what is in force: camphorctl config get", base)
	}
	return resolveUnjudged(verdicts, id, base, current)
}

// resolveUnjudged decides about a change that lies before the first snapshot that
// is kept. Every record since the base version is there, and the first change on
// that version is the one that was accepted.
func resolveUnjudged(verdicts []Result, id string, base uint64, current *State) (*Resolution, error) {
	for i := range verdicts {
		v := &verdicts[i]
		if v.Outcome != Undetermined || v.Offset < base {
			continue
		}
		if v.Restart != nil {
			return nil, fault.New(fault.ConfigUndecided,
				"the configuration was restarted meanwhile; compare with what is in force: camphorctl config get")
		}
		if v.Change.Base != base {
			continue
		}
		if v.ID() == id {
			return &Resolution{v.Offset + 1, current}, nil
		}
		break
	}
	return nil, conflict(base, current)
}

package config

import (
	"context"

	"github.com/camphorrack/camphorrack/internal/fault"
)

// Resolution describes a change that was accepted.
type Resolution struct {
	Version uint64 // version that the change produced
	Current *State // state in force now
}

// Resolve determines the outcome of a change that Publish reported as undecided. It only
// reads the log. The error is a *ConflictError if the change is void, or a *fault.Fault:
// ConfigInvalid if the change is void because it is malformed, ConfigUndecided if the
// change is not in the log and may still be written, or if the log no longer keeps enough
// records, and ConfigNotTaken as for Load.
func (p *Publisher) Resolve(ctx context.Context, id string, base uint64) (*Resolution, error) {
	f, results, err := p.Load(ctx)
	if err != nil {
		return nil, err
	}
	current := f.State()
	if state, err, found := findResult(results, id, base); found {
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
	case f.lowestKept > base:
		return nil, fault.Newf(fault.ConfigUndecided,
			"the log no longer holds what followed on version %d; compare with what is in force: camphorctl config get", base)
	}
	return resolveUndetermined(results, id, base, current)
}

// resolveUndetermined determines the outcome of a change that precedes the first snapshot
// kept. The log has every record since the base version, so the first change based on
// that version is the one that was accepted.
func resolveUndetermined(results []Result, id string, base uint64, current *State) (*Resolution, error) {
	for i := range results {
		res := &results[i]
		if res.Outcome != Undetermined || res.Offset < base {
			continue
		}
		if res.Restart != nil {
			return nil, fault.New(fault.ConfigUndecided,
				"the configuration was restarted meanwhile; compare with what is in force: camphorctl config get")
		}
		if res.Change.Base != base {
			continue
		}
		if res.ID() == id {
			return &Resolution{res.Offset + 1, current}, nil
		}
		break
	}
	return nil, newConflictError(base, current)
}

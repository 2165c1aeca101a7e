package config

import (
	"context"
	"time"

	"github.com/camphorrack/camphorrack/internal/fault"
)

// Restart replaces the configuration by a state that a running process still has, after
// the log has lost records that no process had read. It fails with ConfigInvalid while the
// log still determines the state in force, or if the author, the reason or the state is
// invalid. Other errors are those of Publish.
func (p *Publisher) Restart(ctx context.Context, from *State, author, reason string) (*State, error) {
	f := NewFold(&State{})
	if _, err := ReadToEnd(ctx, p.log, f); err != nil {
		return nil, notTakenFault(err)
	}
	if f.Contiguous() {
		return nil, invalidFault("restart", "the log still says what is in force; make a change instead")
	}
	if author == "" || reason == "" || !validText(author) || !validText(reason) {
		return nil, invalidFault("reason", "a restart needs an author and a written reason")
	}
	r := &Restart{ID: NewChangeID(), State: from, End: f.NextOffset(), Author: author, Reason: reason, AtMs: time.Now().UnixMilli()}
	if err := r.check(); err != nil {
		return nil, fault.New(fault.ConfigInvalid, err.Error())
	}
	return p.append(ctx, f, r.ID, from.Version, &Record{Restart: r})
}

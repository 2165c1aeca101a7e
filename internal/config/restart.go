package config

import (
	"context"
	"time"

	"github.com/camphorrack/camphorrack/internal/fault"
)

// Restart starts the configuration anew from a state that a live process still
// holds, after the log lost records that no process had read. It is refused with
// ConfigInvalid while the log still says what is in force; else as Publish.
func (p *Publisher) Restart(ctx context.Context, from *State, author, reason string) (*State, error) {
	f := NewFold(&State{})
	if _, err := ReadToEnd(ctx, p.log, f); err != nil {
		return nil, notTaken(err)
	}
	if f.Contiguous() {
		return nil, invalid("restart", "the log still says what is in force; make a change instead")
	}
	if author == "" || reason == "" || !validText(author) || !validText(reason) {
		return nil, invalid("reason", "a restart needs an author and a written reason")
	}
	r := &Restart{ID: NewChangeID(), State: from, End: f.NextOffset(), Author: author, Reason: reason, AtMs: time.Now().UnixMilli()}
	if err := r.check(); err != nil {
		return nil, fault.New(fault.ConfigInvalid, err.Error())
	}
	return p.append(ctx, f, r.ID, from.Version, &Record{Restart: r})
}

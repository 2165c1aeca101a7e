package client

import (
	"context"

	"github.com/camphorrack/camphorrack/internal/watchdog"
)

// outcome is the result of a call to one entry.
type outcome struct {
	index uint32 // of the entry
	reply *reply
	err   error
}

// sendHedged sends the call to the entry in use. If that entry is silent for Options.HedgeDelay
// beyond the wait of the call, the call is also sent to the next entry, and the first reply is
// used. The call must be idempotent. It returns the index of the entry that replied, or a
// *TransportError and the index of the first entry.
func (c *Client) sendHedged(ctx context.Context, k call) (uint32, *reply, error) {
	ctx, cancel := context.WithCancel(ctx) // cancels the slower call
	defer cancel()
	first, _ := c.currentEntry()
	outcomes := make(chan outcome, 2)
	send := func(index uint32) {
		r, err := c.send(ctx, c.entryAddr(index), k)
		outcomes <- outcome{index, r, err}
	}
	go send(first)
	silent := make(chan struct{}, 1)
	watch := watchdog.NewWatchdog(k.wait+c.options.HedgeDelay, func(error) { silent <- struct{}{} })
	defer watch.Stop()
	for pending := 1; ; {
		select {
		case <-silent:
			if len(c.options.Entries) > 1 {
				pending++
				go send(first + 1)
			}
		case out := <-outcomes:
			pending--
			if out.err == nil && out.index != first {
				c.advanceFrom(first)
			}
			if out.err == nil {
				return out.index, out.reply, nil
			}
			if pending == 0 {
				return first, nil, out.err
			}
		}
	}
}

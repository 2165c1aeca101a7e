package client

import (
	"context"

	"github.com/camphorrack/camphorrack/internal/silence"
)

// response is how a call to one entry ended.
type response struct {
	at    uint32 // index of the entry
	reply *reply
	err   error
}

// hedged sends the call to the entry in use. Where that one stays silent for
// Options.HedgeDelay beyond its wait, the next one is asked beside it, and the first
// reply counts. Only calls that may be made twice are hedged. It returns the index of the
// entry that replied; the error is a *TransportError, then with the index of the first.
func (c *Client) hedged(ctx context.Context, k call) (uint32, *reply, error) {
	ctx, cancel := context.WithCancel(ctx) // ends the call that came second
	defer cancel()
	first, _ := c.entry()
	responses := make(chan response, 2)
	ask := func(at uint32) {
		r, err := c.send(ctx, c.addr(at), k)
		responses <- response{at, r, err}
	}
	go ask(first)
	silent := make(chan struct{}, 1)
	watch := silence.NewWatchdog(k.wait+c.options.HedgeDelay, func(error) { silent <- struct{}{} })
	defer watch.Stop()
	for open := 1; ; {
		select {
		case <-silent:
			if len(c.options.Entries) > 1 {
				open++
				go ask(first + 1)
			}
		case got := <-responses:
			open--
			if got.err == nil && got.at != first {
				c.leave(first)
			}
			if got.err == nil {
				return got.at, got.reply, nil
			}
			if open == 0 {
				return first, nil, got.err
			}
		}
	}
}

package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"

	"github.com/camphorrack/camphorrack/internal/client"
)

// page is a subcommand that prints what one entry tells about itself.
type page struct {
	name, synopsis string
	read           func(*client.Client, context.Context) (json.RawMessage, error)
}

func newTargets() *page {
	return &page{"targets", "print the targets that an entry knows", (*client.Client).Targets}
}

func newInfo() *page {
	return &page{"info", "print how an entry stands", (*client.Client).Status}
}

// Name implements Command.
func (p *page) Name() string { return p.name }

// Synopsis implements Command.
func (p *page) Synopsis() string { return p.synopsis }

// Run implements Command.
func (p *page) Run(ctx context.Context, env Env, args []string) int {
	f := newFlags(env, p.name)
	if code, ok := f.load(args); !ok {
		return code
	}
	c, err := f.client()
	if err != nil {
		return f.fail(err)
	}
	body, err := p.read(c, ctx)
	if err != nil {
		return f.fail(err)
	}
	var text bytes.Buffer
	if *f.json || json.Indent(&text, body, "", "  ") != nil {
		text.Reset()
		text.Write(bytes.TrimSpace(body))
	}
	fmt.Fprintln(env.Stdout, text.String())
	return ExitDone
}

package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
)

// info implements "camphorctl info".
type info struct{}

func newInfo() info { return info{} }

// Name implements Command.
func (info) Name() string { return "info" }

// Synopsis implements Command.
func (info) Synopsis() string { return "print how an entry stands" }

// Run implements Command.
func (i info) Run(ctx context.Context, env Env, args []string) int {
	f := newFlags(env, i.Name())
	if code, ok := f.load(args); !ok {
		return code
	}
	c, err := f.client()
	if err != nil {
		return f.fail(err)
	}
	body, err := c.Status(ctx)
	if err != nil {
		return f.fail(err)
	}
	var text bytes.Buffer
	if *f.json || json.Indent(&text, body, "", "  ") != nil {
		text.Reset()
		text.Write(body)
	}
	fmt.Fprintln(env.Stdout, text.String())
	return ExitDone
}

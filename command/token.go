package command

import (
	"context"
	"fmt"
)

// token implements "camphorctl token".
type token struct{}

func newToken() token { return token{} }

// Name implements Command.
func (token) Name() string { return "token" }

// Synopsis implements Command.
func (token) Synopsis() string { return "print a token, of which ids of submissions are made" }

// Run implements Command.
func (t token) Run(ctx context.Context, env Env, args []string) int {
	f := newFlags(env, t.Name())
	if code, ok := f.load(args); !ok {
		return code
	}
	c, err := f.client()
	if err != nil {
		return f.fail(err)
	}
	text, err := c.Token(ctx)
	if err != nil {
		return f.fail(err)
	}
	if *f.json {
		printJSON(env.Stdout, struct {
			Token string `json:"token"`
		}{text})
		return ExitDone
	}
	fmt.Fprintln(env.Stdout, text)
	return ExitDone
}

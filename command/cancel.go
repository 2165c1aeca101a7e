package command

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/client"
	"github.com/camphorrack/camphorrack/internal/fault"
)

// cancel implements "camphorctl cancel".
type cancel struct{}

func newCancel() cancel { return cancel{} }

// Name implements Command.
func (cancel) Name() string { return "cancel" }

// Synopsis implements Command.
func (cancel) Synopsis() string {
	return "cancel the submissions with the given ids; with none, ids are read from the standard input"
}

// Run implements Command. The exit code is that of the first id that could not be cancelled.
func (c cancel) Run(ctx context.Context, env Env, args []string) int {
	f := newFlags(env, c.Name())
	ids := f.AllowArguments()
	if code, ok := f.load(args); !ok {
		return code
	}
	cl, err := f.client()
	if err != nil {
		return f.fail(err)
	}
	if len(*ids) == 0 {
		if *ids, err = readIDs(env.Stdin); err != nil {
			return f.fail(err)
		}
	}
	results, err := cl.Cancel(ctx, *ids)
	code := f.printCancelled(results)
	if err != nil {
		return f.fail(err)
	}
	return code
}

// readIDs reads one id per line and skips empty lines. It returns a *fault.Fault if there is
// no id.
func readIDs(in io.Reader) ([]string, error) {
	var ids []string
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		if id := strings.TrimSpace(lines.Text()); id != "" {
			ids = append(ids, id)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Wrap(err, "read ids")
	}
	if len(ids) == 0 {
		return nil, fault.Input(fault.BadSetting, "id", "no id was given")
	}
	return ids, nil
}

// printCancelled prints the outcome for each id and returns the Exit code of the first failure.
func (f *flags) printCancelled(results []client.Cancelled) int {
	code := ExitDone
	for _, r := range results {
		if code == ExitDone && r.Failure != nil {
			code = faultExitCode(r.Failure)
		}
		if *f.json {
			printJSON(f.env.Stdout, r)
			continue
		}
		outcome := "cancelled"
		if r.Failure != nil {
			outcome = r.Failure.Error()
		}
		fmt.Fprintln(f.env.Stdout, r.ID, outcome)
	}
	return code
}

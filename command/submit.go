package command

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/camphorrack/camphorrack/internal/client"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
)

// answerAllowance is how long the command waits for an answer after the deadline: the time
// for which the owner still returns a complete answer (job.AnswerGrace). An entry that can't
// reach the owner reports the outcome as unknown only half a second after that time
// (forward.MaxClockSkew); the command returns ExitUndecided before.
const answerAllowance = 2 * time.Second

// submit implements "camphorctl submit".
type submit struct{}

func newSubmit() submit { return submit{} }

// Name implements Command.
func (submit) Name() string { return "submit" }

// Synopsis implements Command.
func (submit) Synopsis() string {
	return "submit a job or a single request and wait for its answer; arguments are payloads, one a task"
}

// submitFlags are the settings of the submit command.
type submitFlags struct {
	*flags
	payloads    *[]string
	file        *string
	id          *string
	timeout     *time.Duration
	team        *string
	class       *string
	estimate    *time.Duration
	single      *bool
	idempotent  *bool
	spreadRacks *bool
}

func newSubmitFlags(env Env, name string) *submitFlags {
	f := newFlags(env, name)
	return &submitFlags{
		flags:       f,
		payloads:    f.AllowArguments(),
		file:        f.String("file", "", "JSON file with team, class and tasks as in docs/api.md; - is the standard input"),
		id:          f.String("id", "", "send again under this id, which an earlier submit printed"),
		timeout:     f.Duration("timeout", 10*time.Second, "time from now to the deadline"),
		team:        f.String("team", "default", "team whose quota pays"),
		class:       f.String("class", "default", "task class; only targets that serve it are used"),
		estimate:    f.Duration("estimate", 0, "declared run time of each task at speed 1; 0: unknown"),
		single:      f.Bool("single", false, "a single request of one task"),
		idempotent:  f.Bool("idempotent", false, "the single request may run again where its outcome is unknown"),
		spreadRacks: f.Bool("spread-racks", false, "run the tasks in different racks while there are any"),
	}
}

// Run implements Command.
func (s submit) Run(ctx context.Context, env Env, args []string) int {
	f := newSubmitFlags(env, s.Name())
	if code, ok := f.load(args); !ok {
		return code
	}
	submission, err := f.submission()
	if err != nil {
		return f.fail(err)
	}
	c, err := f.client()
	if err != nil {
		return f.fail(err)
	}
	id, err := f.submissionID(ctx, c)
	if err != nil {
		return f.fail(err)
	}
	f.printID(id)
	ctx, cancel := context.WithTimeout(ctx, *f.timeout+answerAllowance)
	defer cancel()
	answer, err := c.Submit(ctx, id, submission)
	if err != nil {
		return f.fail(err)
	}
	return f.printAnswer(answer)
}

// submission builds the submission from the file or the flags and validates it. The error is a
// *fault.Fault.
func (f *submitFlags) submission() (*job.Submission, error) {
	s, err := f.parse()
	if err != nil {
		return nil, err
	}
	s.Single = *f.single
	s.Idempotent = s.Idempotent || *f.idempotent
	return s, s.Validate()
}

// parse builds the submission without the flags that apply to a file too.
func (f *submitFlags) parse() (*job.Submission, error) {
	if *f.file != "" {
		return f.parseFile()
	}
	s := &job.Submission{Team: *f.team, Class: *f.class, SpreadRacks: *f.spreadRacks}
	for _, payload := range *f.payloads {
		s.Tasks = append(s.Tasks, job.Task{Payload: []byte(payload), EstimateMs: f.estimate.Milliseconds()})
	}
	return s, nil
}

// parseFile decodes the submission from the file of -file or from the standard input.
func (f *submitFlags) parseFile() (*job.Submission, error) {
	in := f.env.Stdin
	if *f.file != "-" {
		file, err := os.Open(*f.file)
		if err != nil {
			return nil, fault.Input(fault.BadSetting, "file", err.Error())
		}
		defer file.Close()
		in = file
	}
	decoder := json.NewDecoder(in)
	decoder.DisallowUnknownFields()
	s := &job.Submission{}
	if err := decoder.Decode(s); err != nil {
		return nil, fault.Input(fault.BadBody, "file", err.Error())
	}
	return s, nil
}

// submissionID returns the id of -id, or a new one built from a token that it requests from an
// entry.
func (f *submitFlags) submissionID(ctx context.Context, c *client.Client) (string, error) {
	if *f.id != "" {
		return *f.id, nil
	}
	token, err := c.Token(ctx)
	if err != nil {
		return "", err
	}
	return client.NewID(token, time.Now().Add(*f.timeout), rand.Text()), nil
}

// printID prints the id before the submission is sent, so that the answer can be queried with
// "camphorctl status" even if this process ends before it receives one.
func (f *submitFlags) printID(id string) {
	if *f.json {
		printJSON(f.env.Stdout, struct {
			ID string `json:"id"`
		}{id})
		return
	}
	fmt.Fprintln(f.env.Stdout, "id", id)
}

package command

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/fx"

	"github.com/camphorrack/camphorrack/internal/client"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/platformlog"
	"github.com/camphorrack/camphorrack/platform/store"
)

func TestCommand(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "command")
}

// ctl runs camphorctl in the test process, without environment variables and with its standard
// streams in memory.
type ctl struct {
	cli            *CLI
	stdin          string
	stdout, stderr bytes.Buffer
}

func newCtl() *ctl {
	c := &ctl{}
	app := fx.New(fx.NopLogger, fx.Supply(platformlog.Opener(store.Open)), Module, fx.Populate(&c.cli))
	Expect(app.Err()).NotTo(HaveOccurred())
	return c
}

func (c *ctl) run(args ...string) int {
	env := Env{
		Stdin: strings.NewReader(c.stdin), Stdout: &c.stdout, Stderr: &c.stderr,
		Getenv: func(string) (string, bool) { return "", false },
	}
	return c.cli.Run(context.Background(), env, args)
}

// startFakeEntry starts a fake entry that the handler implements, and returns its address.
func startFakeEntry(handler http.HandlerFunc) string {
	server := httptest.NewServer(handler)
	DeferCleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

var _ = Describe("camphorctl", func() {
	It("lists every command in its help", func() {
		c := newCtl()
		Expect(c.run("help")).To(Equal(ExitDone))
		for _, command := range c.cli.commands {
			Expect(c.stdout.String()).To(ContainSubstring(command.Synopsis()))
		}
	})

	DescribeTable("exits with 2 on a usage error and sends nothing",
		func(args ...string) {
			c := newCtl()
			Expect(c.run(args...)).To(Equal(ExitUsage))
			Expect(c.stderr.String()).NotTo(BeEmpty())
		},
		Entry("no command"),
		Entry("an unknown command", "sumbit"),
		Entry("an unknown flag", "token", "-nonsense"),
		Entry("no task", "submit"),
		Entry("no id", "status"),
		Entry("nothing to cancel", "cancel"),
		Entry("nothing to drain", "drain"),
		Entry("an address without a port", "token", "-entry", "localhost"),
	)

	// An operator who loses the terminal while a long job runs needs the id to query the answer,
	// so it must be printed before the submission is sent.
	It("prints the id before it submits", func() {
		c := newCtl()
		addr := startFakeEntry(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/v1/token" {
				writeJSON(w, http.StatusOK, map[string]string{"token": "c1-a-b-c"})
				return
			}
			Expect(c.stdout.String()).To(HavePrefix("id c1-a-b-c-"))
			id, _, _ := strings.Cut(strings.TrimPrefix(c.stdout.String(), "id "), "\n")
			writeJSON(w, http.StatusOK, job.Answer{ID: id, State: job.Complete, Results: [][]byte{[]byte("done")}})
		})
		Expect(c.run("submit", "-entry", addr, "payload")).To(Equal(ExitDone))
		Expect(c.stdout.String()).To(HaveSuffix("state complete\nresult 0 done\n"))
	})

	DescribeTable("maps the outcome of a submission to an exit code",
		func(status int, answer job.Answer, want int) {
			addr := startFakeEntry(func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, status, answer) })
			Expect(newCtl().run("status", "-entry", addr, "some-id")).To(Equal(want))
		},
		Entry("complete", 200, job.Answer{State: job.Complete}, ExitDone),
		Entry("failed", 502, job.Answer{State: job.Failed, Failure: fault.New(fault.OutcomeUnknown, "")}, ExitFailed),
		Entry("refused", 429, job.Answer{State: job.Refused, Failure: fault.Refused(fault.Overloaded, "", time.Second)}, ExitNotAccepted),
		Entry("wrong input", 400, job.Answer{State: job.Refused, Failure: fault.Input(fault.BadField, "team", "")}, ExitUsage),
		Entry("pending", 202, job.Answer{State: job.Pending}, ExitUndecided),
	)

	// Thousands of jobs are cancelled at once and one of the ids is unknown. The other jobs must
	// still be cancelled, and the exit code must report the failure.
	It("cancels ids from the standard input in batches and exits with the code of the first failure", func() {
		c := newCtl()
		c.stdin = strings.Repeat("id\n", client.MaxCancelIDs) + "\nlost\n"
		calls := 0
		addr := startFakeEntry(func(w http.ResponseWriter, r *http.Request) {
			calls++
			var request struct {
				IDs []string `json:"ids"`
			}
			Expect(json.NewDecoder(r.Body).Decode(&request)).To(Succeed())
			results := make([]client.Cancelled, len(request.IDs))
			for i, id := range request.IDs {
				results[i].ID = id
				if id == "lost" {
					results[i].Failure = fault.New(fault.NotFound, "")
				}
			}
			writeJSON(w, http.StatusOK, map[string]any{"results": results})
		})
		Expect(c.run("cancel", "-entry", addr)).To(Equal(ExitFailed))
		Expect(calls).To(Equal(2))
		Expect(strings.Count(c.stdout.String(), "id cancelled\n")).To(Equal(client.MaxCancelIDs))
		Expect(c.stdout.String()).To(HaveSuffix("lost 402 not_found\n"))
	})
})

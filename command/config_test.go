package command

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/config"
	"github.com/camphorrack/camphorrack/platform/standin"
)

var _ = Describe("camphorctl config", func() {
	var log string

	BeforeEach(func() {
		server := httptest.NewServer(standin.NewStore(standin.StoreOptions{Retention: time.Hour}).HandlerWithControl())
		DeferCleanup(server.Close)
		log = server.URL
	})

	setMode := func(m standin.StoreMode) {
		res, err := http.Post(log+"/control", "application/json", strings.NewReader(`{"mode":"`+string(m)+`"}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Body.Close()).To(Succeed())
	}
	runConfig := func(args ...string) (int, string, string) {
		c := newCtl()
		code := c.run(append([]string{"config", "-log", log, "-author", "ops", "-wait", "1ms", "-entry", "127.0.0.1:1"}, args...)...)
		return code, c.stdout.String(), c.stderr.String()
	}

	It("changes the configuration and prints its state, differences and history", func() {
		code, out, _ := runConfig("set", "quota.team.a=5", "quota.default=2", "-reason", "first")
		Expect(code).To(Equal(ExitDone))
		Expect(out).To(ContainSubstring("accepted: version 1"))
		code, _, _ = runConfig("except", "add", "target:t1", "drain=1", "-reason", "disk swap")
		Expect(code).To(Equal(ExitDone))
		_, out, _ = runConfig("get")
		Expect(out).To(And(ContainSubstring("quota.team.a=5\n"), ContainSubstring("health.broken_percent=60 (default)"),
			ContainSubstring("except target:t1 drain=1 by ops"), ContainSubstring("disk swap")))
		_, out, _ = runConfig("diff", "-first", "1")
		Expect(out).To(Equal("+ except target:t1 drain=1: disk swap\n"))
		code, _, _ = runConfig("except", "remove", "target:t1", "drain")
		Expect(code).To(Equal(ExitDone))
		code, _, _ = runConfig("set", "quota.default=")
		Expect(code).To(Equal(ExitDone))
		_, out, _ = runConfig("get", "-json")
		var state config.State
		Expect(json.Unmarshal([]byte(out), &state)).To(Succeed())
		Expect(state.Settings).To(Equal([]config.Setting{{Key: "quota.team.a", Value: 5}}))
		Expect(state.Exceptions).To(BeEmpty())
		_, out, _ = runConfig("history")
		Expect(strings.Count(out, " accepted ")).To(Equal(4))
	})

	// An operator who evacuates a data centre under time pressure must not have to know the name
	// of the setting, and must be able to list the evacuated data centres.
	It("evacuates a data centre and restores it", func() {
		runCtl := func(args ...string) (int, string) {
			c := newCtl()
			code := c.run(append(args, "-log", log, "-author", "ops", "-wait", "1ms", "-entry", "127.0.0.1:1")...)
			return code, c.stdout.String()
		}
		code, _ := runCtl("evacuate", "north", "-reason", "power works")
		Expect(code).To(Equal(ExitDone))
		_, out, _ := runConfig("get")
		Expect(out).To(ContainSubstring("except data_centre:north drain=1 by ops"))
		_, out = runCtl("evacuate")
		Expect(out).To(And(HavePrefix("north since "), ContainSubstring("power works")))
		code, _ = runCtl("evacuate", "south")
		Expect(code).To(Equal(ExitUsage), "no reason given")
		code, _ = runCtl("restore", "north")
		Expect(code).To(Equal(ExitDone))
		_, out = runCtl("evacuate")
		Expect(out).To(BeEmpty())
	})

	// Scripts handle a conflict, an undecided change and a rejected change differently, so the
	// exit codes must distinguish them.
	It("exits with a distinct code for each outcome", func() {
		code, _, message := runConfig("except", "add", "target:t1", "drain=1")
		Expect(code).To(Equal(ExitUsage), "no reason given")
		Expect(message).To(ContainSubstring("reason"))
		code, _, _ = runConfig("set", "quota.default=5")
		Expect(code).To(Equal(ExitDone))
		code, _, message = runConfig("set", "quota.default=6", "-base", "0")
		Expect(code).To(Equal(ExitConflict))
		Expect(message).To(ContainSubstring(`version 1 by "ops"`))

		setMode(standin.StoreDelayedAppends)
		code, _, message = runConfig("set", "quota.default=7")
		Expect(code).To(Equal(ExitUndecided))
		_, resolve, found := strings.Cut(strings.TrimSpace(message), "camphorctl config ")
		Expect(found).To(BeTrue(), message)
		code, _, _ = runConfig(strings.Fields(resolve)...)
		Expect(code).To(Equal(ExitUndecided), "the log has not applied the record yet")
		setMode(standin.StoreUnavailable)
		code, _, _ = runConfig("set", "quota.default=8")
		Expect(code).To(Equal(ExitNotAccepted))
		setMode(standin.StoreNormal)
		code, out, _ := runConfig(strings.Fields(resolve)...)
		Expect(code).To(Equal(ExitDone))
		Expect(out).To(ContainSubstring("accepted: it made version 2"))
		code, _, _ = runConfig("restart", "-reason", "not needed", "-from", "127.0.0.1:1")
		Expect(code).NotTo(Equal(ExitDone))
	})
})

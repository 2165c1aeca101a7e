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
		server := httptest.NewServer(standin.NewStore(standin.StoreOptions{Retention: time.Hour}).Controlled())
		DeferCleanup(server.Close)
		log = server.URL
	})

	mode := func(m standin.StoreMode) {
		res, err := http.Post(log+"/control", "application/json", strings.NewReader(`{"mode":"`+string(m)+`"}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Body.Close()).To(Succeed())
	}
	run := func(words ...string) (int, string, string) {
		c := newCtl()
		code := c.run(append([]string{"config", "-log", log, "-author", "ops", "-wait", "1ms", "-entry", "127.0.0.1:1"}, words...)...)
		return code, c.stdout.String(), c.stderr.String()
	}

	It("changes, shows and lists the configuration", func() {
		code, out, _ := run("set", "quota.team.a=5", "quota.default=2", "-reason", "first")
		Expect(code).To(Equal(ExitDone))
		Expect(out).To(ContainSubstring("accepted: version 1"))
		code, _, _ = run("except", "add", "target:t1", "drain=1", "-reason", "disk swap")
		Expect(code).To(Equal(ExitDone))
		_, out, _ = run("get")
		Expect(out).To(And(ContainSubstring("quota.team.a=5\n"), ContainSubstring("health.broken_percent=60 (default)"),
			ContainSubstring("except target:t1 drain=1 by ops"), ContainSubstring("disk swap")))
		_, out, _ = run("diff", "-first", "1")
		Expect(out).To(Equal("+ except target:t1 drain=1: disk swap\n"))
		code, _, _ = run("except", "remove", "target:t1", "drain")
		Expect(code).To(Equal(ExitDone))
		code, _, _ = run("set", "quota.default=")
		Expect(code).To(Equal(ExitDone))
		_, out, _ = run("get", "-json")
		var state config.State
		Expect(json.Unmarshal([]byte(out), &state)).To(Succeed())
		Expect(state.Settings).To(Equal([]config.Setting{{Key: "quota.team.a", Value: 5}}))
		Expect(state.Exceptions).To(BeEmpty())
		_, out, _ = run("history")
		Expect(strings.Count(out, " accepted ")).To(Equal(4))
	})

	// Guards against an operator who empties a data centre in a hurry and names the wrong setting,
	// or can't see which ones are out.
	It("evacuates a data centre and restores it", func() {
		ctl := func(words ...string) (int, string) {
			c := newCtl()
			code := c.run(append(words, "-log", log, "-author", "ops", "-wait", "1ms", "-entry", "127.0.0.1:1")...)
			return code, c.stdout.String()
		}
		code, _ := ctl("evacuate", "north", "-reason", "power works")
		Expect(code).To(Equal(ExitDone))
		_, out, _ := run("get")
		Expect(out).To(ContainSubstring("except data_centre:north drain=1 by ops"))
		_, out = ctl("evacuate")
		Expect(out).To(And(HavePrefix("north since "), ContainSubstring("power works")))
		code, _ = ctl("evacuate", "south")
		Expect(code).To(Equal(ExitUsage), "no reason given")
		code, _ = ctl("restore", "north")
		Expect(code).To(Equal(ExitDone))
		_, out = ctl("evacuate")
		Expect(out).To(BeEmpty())
	})

	// An operator's script must tell "another change won", "ask again" and "nothing
	// happened" apart: the three call for different steps.
	It("ends with a code of its own for each outcome", func() {
		code, _, message := run("except", "add", "target:t1", "drain=1")
		Expect(code).To(Equal(ExitUsage), "no reason given")
		Expect(message).To(ContainSubstring("reason"))
		code, _, _ = run("set", "quota.default=5")
		Expect(code).To(Equal(ExitDone))
		code, _, message = run("set", "quota.default=6", "-base", "0")
		Expect(code).To(Equal(ExitConflict))
		Expect(message).To(ContainSubstring(`version 1 by "ops"`))

		mode(standin.StoreLate)
		code, _, message = run("set", "quota.default=7")
		Expect(code).To(Equal(ExitUndecided))
		_, ask, found := strings.Cut(strings.TrimSpace(message), "camphorctl config ")
		Expect(found).To(BeTrue(), message)
		code, _, _ = run(strings.Fields(ask)...)
		Expect(code).To(Equal(ExitUndecided), "not landed yet")
		mode(standin.StoreBusy)
		code, _, _ = run("set", "quota.default=8")
		Expect(code).To(Equal(ExitNotAccepted))
		mode(standin.StoreServes)
		code, out, _ := run(strings.Fields(ask)...)
		Expect(code).To(Equal(ExitDone))
		Expect(out).To(ContainSubstring("accepted: it made version 2"))
		code, _, _ = run("restart", "-reason", "not needed", "-from", "127.0.0.1:1")
		Expect(code).NotTo(Equal(ExitDone))
	})
})

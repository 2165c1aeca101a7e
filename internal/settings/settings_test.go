package settings

import (
	"bytes"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

func env(values map[string]string) func(string) (string, bool) {
	return func(name string) (string, bool) {
		v, ok := values[name]
		return v, ok
	}
}

var _ = Describe("a set of settings", func() {
	var (
		out   *bytes.Buffer
		set   *Set
		key   *string
		size  *int
		pause *time.Duration
	)
	BeforeEach(func() {
		out = &bytes.Buffer{}
		set = New("program", out)
		key = set.Secret("key", "secret of the fleet")
		size = set.Int("size", 7, "size")
		pause = set.Duration("long-pause", time.Second, "pause")
		set.AddCheck("size", func() string {
			if *size < 1 {
				return "takes 1 or more"
			}
			return ""
		})
	})

	It("prefers flags to environment variables and these to defaults", func() {
		err := set.Load([]string{"-size", "3"}, env(map[string]string{"CAMPHORRACK_SIZE": "2", "CAMPHORRACK_LONG_PAUSE": "5s"}))
		Expect(err).NotTo(HaveOccurred())
		Expect(*size).To(Equal(3))
		Expect(*pause).To(Equal(5 * time.Second))
		Expect(*key).To(BeEmpty())
	})

	// With several invalid settings, reporting only the first would cost an operator one
	// restart of the daemon per fault.
	It("reports every fault at once", func() {
		err := set.Load([]string{"-size", "0", "-nonsense", "-long-pause=x", "stray"}, env(map[string]string{"CAMPHORRACK_SIZE": "many"}))
		Expect(err).To(MatchError(And(
			ContainSubstring("CAMPHORRACK_SIZE"),
			ContainSubstring("-nonsense"),
			ContainSubstring("long-pause"),
			ContainSubstring(`"stray"`),
			ContainSubstring("601 bad_setting size: takes 1 or more"),
		)))
	})

	// Operators paste the output of -print-settings into tickets, which must not leak the
	// secret of the fleet.
	It("never prints a secret", func() {
		err := set.Load([]string{"-print-settings"}, env(map[string]string{"CAMPHORRACK_KEY": "hunter2"}))
		Expect(errors.Is(err, ErrSettingsPrinted)).To(BeTrue())
		Expect(out.String()).To(And(ContainSubstring("key=(secret)"), ContainSubstring("size=7")))
		Expect(out.String()).NotTo(ContainSubstring("hunter2"))
	})

	It("accepts positional arguments between flags where the program allows them", func() {
		arguments := set.AllowArguments()
		Expect(set.Load([]string{"a", "-size", "4", "b"}, env(nil))).To(Succeed())
		Expect(*arguments).To(Equal([]string{"a", "b"}))
		Expect(*size).To(Equal(4))
	})
})

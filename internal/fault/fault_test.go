package fault

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
)

const page = "../../docs/api.md"

var row = regexp.MustCompile(`(?m)^\| (\d+) \| ([a-z_]+) \| (\d+) \|`)

// A caller's program branches on the code that the page lists. A code that is
// missing there, or comes with another status, is handled as something else.
func TestPageListsEveryCode(t *testing.T) {
	g := NewWithT(t)
	text, err := os.ReadFile(page)
	g.Expect(err).NotTo(HaveOccurred())
	codes := Codes()
	slices.Sort(codes)
	var want []string
	for _, c := range codes {
		want = append(want, fmt.Sprintf("| %d | %s | %d |", c, c, c.Status()))
	}
	g.Expect(row.FindAllString(string(text), -1)).To(Equal(want))
}

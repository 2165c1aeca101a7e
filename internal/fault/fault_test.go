package fault

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
)

const docPath = "../../docs/api.md"

var rowPattern = regexp.MustCompile(`(?m)^\| (\d+) \| ([a-z_]+) \| (\d+) \|`)

// Callers' programs branch on the codes that the API page lists. They would mishandle a code
// that is missing there or has another status.
func TestAPIPageListsEveryCode(t *testing.T) {
	g := NewWithT(t)
	text, err := os.ReadFile(docPath)
	g.Expect(err).NotTo(HaveOccurred())
	codes := Codes()
	slices.Sort(codes)
	var want []string
	for _, c := range codes {
		want = append(want, fmt.Sprintf("| %d | %s | %d |", c, c, c.Status()))
	}
	g.Expect(rowPattern.FindAllString(string(text), -1)).To(Equal(want))
}

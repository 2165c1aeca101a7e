package event

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"testing"

	. "github.com/onsi/gomega"
)

const docPath = "../../docs/events.md"

var rowPattern = regexp.MustCompile(`(?m)^\| (\d+) \| .*$`)

// Operators' alerts match on the numbers that the page lists. A number that is missing there, or
// has another meaning, would mislead the operator.
func TestEventsPageEqualsCatalogue(t *testing.T) {
	g := NewWithT(t)
	text, err := os.ReadFile(docPath)
	g.Expect(err).NotTo(HaveOccurred())
	var want []string
	for _, e := range Catalogue {
		want = append(want, fmt.Sprintf("| %d | %s | %s |", e.ID, e.Name, e.Text))
	}
	g.Expect(rowPattern.FindAllString(string(text), -1)).To(Equal(want))
}

// An event without an entry in the catalogue would be logged with an empty name. Two events with
// the same number would be indistinguishable.
func TestEveryEventIsInTheCatalogueExactlyOnce(t *testing.T) {
	g := NewWithT(t)
	file, err := parser.ParseFile(token.NewFileSet(), "event.go", nil, 0)
	g.Expect(err).NotTo(HaveOccurred())
	constants := 0
	ast.Inspect(file, func(n ast.Node) bool {
		if spec, ok := n.(*ast.ValueSpec); ok {
			if kind, ok := spec.Type.(*ast.Ident); ok && kind.Name == "ID" {
				constants += len(spec.Names)
			}
		}
		return true
	})
	g.Expect(Catalogue).To(HaveLen(constants))
	for i := 1; i < len(Catalogue); i++ {
		g.Expect(Catalogue[i].ID).To(BeNumerically(">", Catalogue[i-1].ID))
	}
}

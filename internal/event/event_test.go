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

const page = "../../docs/events.md"

var row = regexp.MustCompile(`(?m)^\| (\d+) \| .*$`)

// An operator's alert matches on a number that the page lists. A number that is
// missing there, or has another meaning, sends the operator the wrong way.
func TestPageAndCatalogueAreTheSame(t *testing.T) {
	g := NewWithT(t)
	text, err := os.ReadFile(page)
	g.Expect(err).NotTo(HaveOccurred())
	var want []string
	for _, e := range Catalogue {
		want = append(want, fmt.Sprintf("| %d | %s | %s |", e.ID, e.Name, e.Text))
	}
	g.Expect(row.FindAllString(string(text), -1)).To(Equal(want))
}

// An event without an entry in the catalogue would be logged with an empty name,
// and one number given twice would make two events look the same.
func TestEveryEventIsInTheCatalogueOnce(t *testing.T) {
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

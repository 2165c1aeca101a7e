package httpconn

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/scheduler/connlimit"
)

// Guards against headers that take many times their size, and against counting the lines of bodies or of
// earlier headers.
func TestLinesOfAHeaderAreLimited(t *testing.T) {
	s := startGuarded(t, connlimit.Limits{}, readBody)
	many := "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", maxHeaderLines)
	s.Expect(status(s.open(t, many+"\r\n"))).To(Equal(http.StatusBadRequest))
	s.Expect(status(s.open(t, many))).To(Equal(http.StatusBadRequest), "also if it is not complete")
	s.Expect(s.gauges["http.test.given_up.too_many_header_fields"]()).To(Equal(int64(2)))

	lines := strings.Repeat("\n", 3*maxHeaderLines)
	c := s.open(t, "")
	r := bufio.NewReader(c)
	for range maxHeaderLines {
		for _, request := range []string{get, strings.Replace(post(len(lines), 0), "\r\n", "\n", 1) + lines} {
			_, err := io.WriteString(c, request)
			s.Expect(err).NotTo(HaveOccurred())
			response, err := http.ReadResponse(r, nil)
			s.Expect(err).NotTo(HaveOccurred())
			s.Expect(response.Body.Close()).To(Succeed())
			s.Expect(response.StatusCode).To(Equal(http.StatusOK))
		}
	}
}

// Guards against a count that depends on how the header is cut into reads.
func TestHeaderLinesInPieces(t *testing.T) {
	g := NewWithT(t)
	header := "GET / HTTP/1.1\r\nHost: a\nB:\r\n\r\n"
	for size := 1; size <= len(header); size++ {
		for limit, exceeded := range map[int]bool{2: true, 3: false} {
			h := &headerLines{}
			h.begin()
			got := false
			for rest := header + "\n\n\n\n"; rest != "" && !got; rest = rest[min(size, len(rest)):] {
				got = h.exceeds([]byte(rest[:min(size, len(rest))]), limit)
			}
			g.Expect(got).To(Equal(exceeded), "pieces of %d bytes, limit %d", size, limit)
		}
	}
}

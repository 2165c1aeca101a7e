package httpconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/scheduler/connlimit"
)

// startEarly starts a server that answers each request with 404 and does not read its body.
func startEarly(t *testing.T) (dial func() (net.Conn, *bufio.Reader)) {
	s := startGuarded(t, connlimit.Limits{}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNotFound)
		_, _ = io.WriteString(w, "no such path")
	}))
	return func() (net.Conn, *bufio.Reader) {
		c := s.open(t, "")
		return c, bufio.NewReader(c)
	}
}

func expectNotFound(g *WithT, r *bufio.Reader) {
	response, err := http.ReadResponse(r, nil)
	g.Expect(err).NotTo(HaveOccurred())
	text, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.StatusCode).To(Equal(http.StatusNotFound))
	g.Expect(string(text)).To(Equal("no such path"))
}

// Guards against a connection that is lost to a caller whose whole body is on its way, and against a rest of
// a body that is read as the next request.
func TestConnectionIsKeptIfTheBodyFollows(t *testing.T) {
	g := NewWithT(t)
	c, r := startEarly(t)()
	for range 3 {
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 70000\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		expectNotFound(g, r)
		_, err = io.WriteString(c, strings.Repeat("GET /", 14_000))
		g.Expect(err).NotTo(HaveOccurred())
	}
}

// Guards against a response that a reset of the connection overtakes, and against reading without an end:
// the client sends on and on.
func TestResponseArrivesAtAClientThatSendsOn(t *testing.T) {
	g := NewWithT(t)
	c, r := startEarly(t)()
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	sent := make(chan error, 1)
	go func() {
		for {
			if _, err := io.WriteString(c, "1000\r\n"+strings.Repeat("x", 0x1000)+"\r\n"); err != nil {
				sent <- err
				return
			}
		}
	}()
	expectNotFound(g, r)
	g.Eventually(sent, "20s").Should(Receive(HaveOccurred()), "the connection is closed")
}

// Guards against a body that a client announces with "Expect: 100-continue" being asked for after its answer.
func TestNoBodyIsAskedForAfterTheResponse(t *testing.T) {
	g := NewWithT(t)
	c, r := startEarly(t)()
	_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\nExpect: 100-continue\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	expectNotFound(g, r)
	g.Expect(c.SetReadDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
	_, err = r.ReadByte()
	g.Expect(err).To(MatchError(io.EOF))
}

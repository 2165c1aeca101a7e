package leased_test

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/leased"
)

// ask sends a request with a header of some length over a connection and returns the
// status of the answer.
func ask(g *WithT, c net.Conn, headerBytes int) int {
	_, err := c.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + strings.Repeat("x", headerBytes) + "\r\n\r\n"))
	g.Expect(err).NotTo(HaveOccurred())
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Body.Close()).To(Succeed())
	return response.StatusCode
}

func serve(t *testing.T, limits leased.ConnLimits) (s *leased.Server, dial func() net.Conn) {
	g := NewWithT(t)
	ok := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	s, err := leased.Listen(logr.Discard(), "a test", "127.0.0.1:0", ok, limits, nil)
	g.Expect(err).NotTo(HaveOccurred())
	go s.Serve()
	t.Cleanup(s.Close)
	return s, func() net.Conn {
		c, err := net.Dial("tcp", s.Addr())
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
}

// An operator lowers the size of headers while callers have connections open. New
// connections must keep to it; a request on its way over an old one must not break.
func TestLimitsChangeForNewConnections(t *testing.T) {
	g := NewWithT(t)
	s, dial := serve(t, leased.ConnLimits{HeaderBytes: 64 << 10})
	old := dial()
	g.Expect(ask(g, old, 32<<10)).To(Equal(http.StatusNoContent))
	s.SetLimits(leased.ConnLimits{HeaderBytes: 8 << 10})
	g.Expect(ask(g, dial(), 32<<10)).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	g.Expect(ask(g, dial(), 1<<10)).To(Equal(http.StatusNoContent))
	g.Expect(ask(g, old, 32<<10)).To(Equal(http.StatusNoContent))
}

// A client opens a connection and sends its header a byte at a time, or nothing at all
// after an answer. Enough of them would hold all the memory of a host.
func TestSlowAndIdleConnectionsEnd(t *testing.T) {
	g := NewWithT(t)
	s, dial := serve(t, leased.ConnLimits{})
	s.SetLimits(leased.ConnLimits{HeaderTimeout: 20 * time.Millisecond, IdleTimeout: 20 * time.Millisecond})
	slow := dial()
	_, err := slow.Write([]byte("GET / HT"))
	g.Expect(err).NotTo(HaveOccurred())
	idle := dial()
	g.Expect(ask(g, idle, 1)).To(Equal(http.StatusNoContent))
	for _, c := range []net.Conn{slow, idle} {
		_, err := bufio.NewReader(c).ReadBytes(0) // to the end of the connection
		g.Expect(err).To(MatchError("EOF"))
	}
}

// failingListener can't take its first connections, as where a process has no free file
// descriptors.
type failingListener struct {
	net.Listener
	failures int
}

func (f *failingListener) Accept() (net.Conn, error) {
	if f.failures > 0 {
		f.failures--
		return nil, errors.New("too many open files")
	}
	return f.Listener.Accept()
}

// A burst of callers takes all file descriptors for a moment. An entry that gave up its
// listener then would run on, look well, and take nobody any more.
func TestServerOutlivesFailuresToAccept(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	ok := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	s := leased.NewServer(logr.Discard(), "a test", &failingListener{listener, 2}, ok, leased.ConnLimits{}, nil)
	go s.Serve()
	t.Cleanup(s.Close)
	c, err := net.Dial("tcp", s.Addr())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = c.Close() })
	g.Expect(c.SetDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
	g.Expect(ask(g, c, 1)).To(Equal(http.StatusNoContent))
}

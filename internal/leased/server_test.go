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

// sendRequest sends a request with a header of the given length over a connection and returns the
// status code of the response.
func sendRequest(g *WithT, c net.Conn, headerBytes int) int {
	_, err := c.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + strings.Repeat("x", headerBytes) + "\r\n\r\n"))
	g.Expect(err).NotTo(HaveOccurred())
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Body.Close()).To(Succeed())
	return response.StatusCode
}

// startServer starts a server and returns a function that opens connections to it.
func startServer(t *testing.T, limits leased.ConnLimits) (s *leased.Server, dial func() net.Conn) {
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

// Guards against ignoring a lower limit of the header size on new connections, and against breaking
// requests on connections that were open when an operator lowered it.
func TestChangedLimitsApplyToNewConnections(t *testing.T) {
	g := NewWithT(t)
	s, dial := startServer(t, leased.ConnLimits{HeaderBytes: 64 << 10})
	old := dial()
	g.Expect(sendRequest(g, old, 32<<10)).To(Equal(http.StatusNoContent))
	s.SetLimits(leased.ConnLimits{HeaderBytes: 8 << 10})
	g.Expect(sendRequest(g, dial(), 32<<10)).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	g.Expect(sendRequest(g, dial(), 1<<10)).To(Equal(http.StatusNoContent))
	g.Expect(sendRequest(g, old, 32<<10)).To(Equal(http.StatusNoContent))
}

// Guards against clients that send a header a byte at a time, or nothing at all after a response:
// enough such connections would use up the memory of a host.
func TestSlowAndIdleConnectionsAreClosed(t *testing.T) {
	g := NewWithT(t)
	s, dial := startServer(t, leased.ConnLimits{})
	s.SetLimits(leased.ConnLimits{HeaderTimeout: 20 * time.Millisecond, IdleTimeout: 20 * time.Millisecond})
	slow := dial()
	_, err := slow.Write([]byte("GET / HT"))
	g.Expect(err).NotTo(HaveOccurred())
	idle := dial()
	g.Expect(sendRequest(g, idle, 1)).To(Equal(http.StatusNoContent))
	for _, c := range []net.Conn{slow, idle} {
		_, err := bufio.NewReader(c).ReadBytes(0) // until the connection is closed
		g.Expect(err).To(MatchError("EOF"))
	}
}

// Guards against closing a connection under a client that is using it: it is told with a response.
func TestRetiredConnectionsEndWithAResponse(t *testing.T) {
	g := NewWithT(t)
	s, dial := startServer(t, leased.ConnLimits{})
	c := dial()
	g.Expect(sendRequest(g, c, 1)).To(Equal(http.StatusNoContent))
	s.Retire()
	_, err := c.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	g.Expect(err).NotTo(HaveOccurred())
	reader := bufio.NewReader(c)
	response, err := http.ReadResponse(reader, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.StatusCode).To(Equal(http.StatusNoContent))
	g.Expect(response.Close).To(BeTrue())
	_, err = reader.ReadByte()
	g.Expect(err).To(MatchError("EOF"))
	g.Expect(sendRequest(g, dial(), 1)).To(Equal(http.StatusNoContent), "new connections are served until Shutdown")
}

// Guards against a request without an answer because it arrives on an accepted connection just after the
// server has begun to shut down.
func TestRequestDuringShutdownIsAnswered(t *testing.T) {
	g := NewWithT(t)
	s, dial := startServer(t, leased.ConnLimits{})
	idle, c := dial(), dial()
	g.Expect(sendRequest(g, idle, 1)).To(Equal(http.StatusNoContent))
	time.Sleep(50 * time.Millisecond) // both are accepted
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(t.Context()) }()
	_, err := bufio.NewReader(idle).ReadBytes(0)
	g.Expect(err).To(MatchError("EOF"), "it is closed when the shutdown has begun")
	g.Expect(sendRequest(g, c, 1)).To(Equal(http.StatusNoContent))
	g.Eventually(ended, "2s").Should(Receive(BeNil()))
	_, err = net.Dial("tcp", s.Addr())
	g.Expect(err).To(HaveOccurred())
}

// failingListener fails its first accepts, like that of a process without free file descriptors.
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

// Guards against a server that stops accepting after a burst of callers has used up all file
// descriptors for a moment: the entry would keep running and look healthy without serving anybody.
func TestServerContinuesAfterAcceptErrors(t *testing.T) {
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
	g.Expect(sendRequest(g, c, 1)).To(Equal(http.StatusNoContent))
}

// Guards against connections that stay open after Close because they were accepted before the limits
// changed.
func TestCloseEndsConnectionsWithEarlierLimits(t *testing.T) {
	g := NewWithT(t)
	s, dial := startServer(t, leased.ConnLimits{HeaderBytes: 8 << 10})
	var open []net.Conn
	for i := range 3 {
		c := dial()
		g.Expect(sendRequest(g, c, 1)).To(Equal(http.StatusNoContent))
		open = append(open, c)
		s.SetLimits(leased.ConnLimits{HeaderBytes: (9 + i) << 10})
	}
	s.Close()
	for _, c := range open {
		_, err := bufio.NewReader(c).ReadByte()
		g.Expect(err).To(HaveOccurred())
	}
}

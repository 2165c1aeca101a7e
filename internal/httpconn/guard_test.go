package httpconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/scheduler/connlimit"
)

// guarded is a server with a Guard, and its log.
type guarded struct {
	*WithT
	guard  *Guard
	addr   string
	gauges map[string]func() int64

	mu    sync.Mutex
	lines []string
}

func startGuarded(t *testing.T, limits connlimit.Limits, handler http.Handler) *guarded {
	s := &guarded{WithT: NewWithT(t), gauges: map[string]func() int64{}}
	log := funcr.New(func(_, line string) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lines = append(s.lines, line)
	}, funcr.Options{})
	s.guard = NewGuard(log, "a test", limits)
	s.guard.Register("http.test", func(name string, read func() int64) { s.gauges[name] = read })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	s.Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: s.guard.Handler(handler), ConnState: s.guard.Track, ConnContext: s.guard.ConnContext}
	go func() { _ = server.Serve(s.guard.Listener(listener)) }() // returns when the test closes the server
	t.Cleanup(func() {
		_ = server.Close()
		s.guard.Close()
	})
	s.addr = listener.Addr().String()
	return s
}

func (s *guarded) logLines() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.lines...)
}

// open opens a connection and sends text.
func (s *guarded) open(t *testing.T, text string) net.Conn {
	c, err := net.Dial("tcp", s.addr)
	s.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, text)
	s.Expect(err).NotTo(HaveOccurred())
	return c
}

// status returns the status of the next response on a connection; 0 if it was closed.
func status(c net.Conn) int {
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second)) // fails on a closed connection, as the reading does
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

var noContent = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })

const get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// Guards against a crowd without requests that keeps an ordinary caller out, and against a log line for
// each of its connections.
func TestCrowdIsClosedForNewConnections(t *testing.T) {
	s := startGuarded(t, connlimit.Limits{Conns: 10}, noContent)
	first := s.open(t, "")
	for range 200 {
		s.open(t, "")
	}
	s.Expect(status(first)).To(BeZero(), "the longest wait is closed first")
	s.Expect(status(s.open(t, get))).To(Equal(http.StatusNoContent))
	s.Expect(s.gauges["http.test.connections"]()).To(BeNumerically("<=", 10))
	s.Expect(s.gauges["http.test.connections_limit"]()).To(Equal(int64(10)))
	s.Expect(s.gauges["http.test.given_up.too_many_connections"]()).To(BeNumerically(">=", 191))
	s.Expect(len(s.logLines())).To(BeNumerically("<=", 3), strings.Join(s.logLines(), "\n"))
	s.Eventually(s.logLines, "5s").Should(ContainElement(ContainSubstring(`"too_many_connections"`)))
}

// Guards against closing a connection whose request is being served, and against connections without a
// limit where all are.
func TestServedConnectionsAreKept(t *testing.T) {
	release := make(chan struct{})
	s := startGuarded(t, connlimit.Limits{Conns: 2}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-release
		w.WriteHeader(http.StatusNoContent)
	}))
	served := []net.Conn{s.open(t, get), s.open(t, get)}
	s.Eventually(func() (n int) {
		s.guard.mu.Lock()
		defer s.guard.mu.Unlock()
		for _, c := range s.guard.clients {
			if phase, _ := s.guard.table.Phase(c); phase == connlimit.Serving {
				n++
			}
		}
		return n
	}, "5s").Should(Equal(2))
	s.Expect(status(s.open(t, ""))).To(BeZero())
	close(release)
	for _, c := range served {
		s.Expect(status(c)).To(Equal(http.StatusNoContent))
	}
	s.Expect(s.gauges["http.test.given_up.all_serving"]()).To(Equal(int64(1)))
}

// Guards against connections that stay for good because their clients do not read what they asked for.
func TestUnreadAnswersEndTheConnection(t *testing.T) {
	s := startGuarded(t, connlimit.Limits{}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Long", strings.Repeat("x", 64<<10))
	}))
	c := s.open(t, "")
	go func() {
		for {
			if _, err := io.WriteString(c, get); err != nil {
				return
			}
		}
	}()
	s.Eventually(func() int64 {
		s.guard.mu.Lock()
		s.guard.table.Forgive(-answerTimeout / 2) // time passes
		s.guard.mu.Unlock()
		return s.gauges["http.test.given_up.unread_answer"]()
	}, "20s", "2s").Should(Equal(int64(1)))
	s.Eventually(s.gauges["http.test.connections"], "5s").Should(BeZero())
}

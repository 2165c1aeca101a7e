package httpconn

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
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
func TestStandingConnectionsAreClosedForNewOnes(t *testing.T) {
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
	s.Eventually(func() int {
		s.guard.mu.Lock()
		defer s.guard.mu.Unlock()
		return s.guard.table.Count(connlimit.Serving)
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

// readBody answers with the length of the body, with 408 for a request that is given up, and 413 for a body
// that is too long.
var readBody = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
	body, err := ReadBody(r, 100_000)
	var givenUp *GivenUpError
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &givenUp):
		w.WriteHeader(http.StatusRequestTimeout)
	case errors.As(err, &tooLong):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
	default:
		ReleaseBody(r)
		_, _ = io.WriteString(w, strconv.Itoa(len(body)))
	}
})

// post returns the start of a request with a body of length bytes, of which sent are there.
func post(length, sent int) string {
	return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + strconv.Itoa(length) + "\r\n\r\n" + strings.Repeat("x", sent)
}

// Guards against bodies that are cut, lengthened or read past the limit, whatever their framing.
func TestReadBody(t *testing.T) {
	s := startGuarded(t, connlimit.Limits{Bytes: 200_000}, readBody)
	for _, length := range []int{0, 1, 4095, 4096, 4097, 16384, 99_999, 100_000} {
		for framing, request := range map[string]string{
			"length": post(length, length),
			"chunks": "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(length) + "0\r\n\r\n",
		} {
			response, err := http.ReadResponse(bufio.NewReader(s.open(t, request)), nil)
			s.Expect(err).NotTo(HaveOccurred())
			text, err := io.ReadAll(response.Body)
			s.Expect(err).NotTo(HaveOccurred())
			s.Expect(string(text)).To(Equal(strconv.Itoa(length)), framing)
		}
	}
	s.Expect(status(s.open(t, post(100_001, 0)))).To(Equal(http.StatusRequestEntityTooLarge))
	s.Expect(status(s.open(t, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"+chunks(100_001)))).To(Equal(http.StatusRequestEntityTooLarge))
	s.Eventually(s.gauges["http.test.body_bytes"], "5s").Should(BeZero())
}

// chunks returns a body in chunks of up to 1,000 bytes, without the last, empty one.
func chunks(length int) string {
	var b strings.Builder
	for ; length > 0; length -= 1000 {
		n := min(length, 1000)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, strings.Repeat("x", n))
	}
	return b.String()
}

// Guards against bodies that stop short and keep the memory from all others, and against a request that is
// given up without an answer.
func TestBodiesAreGivenUpForOthers(t *testing.T) {
	s := startGuarded(t, connlimit.Limits{Bytes: 300_000}, readBody)
	var crowd []net.Conn
	for range 20 {
		crowd = append(crowd, s.open(t, post(50_000, 49_999)))
	}
	s.Eventually(s.gauges["http.test.given_up.too_many_bytes"], "5s").Should(BeNumerically(">=", 14))
	s.Expect(s.gauges["http.test.body_bytes"]()).To(BeNumerically("<=", 300_000))
	s.Expect(status(s.open(t, post(3000, 3000)))).To(Equal(http.StatusOK))
	answered := 0
	for _, c := range crowd[:10] {
		s.Expect(c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))).To(Succeed())
		if response, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			s.Expect(response.StatusCode).To(Equal(http.StatusRequestTimeout))
			answered++
		}
	}
	s.Expect(answered).To(BeNumerically(">", 0))
}

// Guards against a body without an end that is not given up while there is room, and against giving it up
// for a time in which this process stood still.
func TestSlowBodiesAreGivenUp(t *testing.T) {
	s := startGuarded(t, connlimit.Limits{}, readBody)
	slow := s.open(t, post(50_000, 49_999))
	s.Eventually(s.gauges["http.test.body_bytes"], "5s").Should(BeNumerically(">", 0))
	s.guard.mu.Lock()
	s.guard.table.Forgive(-bodyTimeout - time.Second) // both times pass
	s.guard.sweptAt = s.guard.sweptAt.Add(-bodyTimeout)
	s.guard.mu.Unlock()
	s.Consistently(s.gauges["http.test.given_up.slow_body"], "1500ms").Should(BeZero())
	s.guard.mu.Lock()
	s.guard.table.Forgive(-bodyTimeout)
	s.guard.mu.Unlock()
	s.Expect(status(slow)).To(Equal(http.StatusRequestTimeout))
}

// Guards against a drain that waits for bodies which never end, and against one that cuts a body on its way.
func TestDrainWaitsForBodiesOnTheirWay(t *testing.T) {
	s := startGuarded(t, connlimit.Limits{}, readBody)
	standing := s.open(t, post(50_000, 49_999))
	s.Eventually(s.gauges["http.test.body_bytes"], "5s").Should(BeNumerically(">=", 50_000))
	time.Sleep(requestTimeout) // so that it is given up at once
	arriving, unused := s.open(t, post(50_000, 20_000)), s.open(t, "")
	s.Eventually(s.gauges["http.test.connections"], "5s").Should(Equal(int64(3)))
	s.Eventually(s.gauges["http.test.body_bytes"], "5s").Should(BeNumerically(">", 60_000))
	drained := make(chan error, 1)
	go func() { drained <- s.guard.Drain(t.Context()) }()
	s.Expect(status(standing)).To(Equal(http.StatusRequestTimeout))
	time.Sleep(requestTimeout / 4)
	_, err := io.WriteString(arriving, strings.Repeat("x", 30_000))
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect(status(arriving)).To(Equal(http.StatusOK))
	s.Expect(arriving.Close()).To(Succeed())
	s.Expect(status(unused)).To(BeZero())
	s.Eventually(drained, "10s").Should(Receive(BeNil()))
	s.Expect(s.gauges["http.test.given_up.drain"]()).To(BeNumerically(">=", 2))
}

// Guards against a client that waits for "100 Continue" before it sends its body, and waits for good.
func TestBodyIsAskedFor(t *testing.T) {
	s := startGuarded(t, connlimit.Limits{Bytes: 100_000}, readBody)
	c := s.open(t, strings.Replace(post(10, 0), "Host: a\r\n", "Host: a\r\nExpect: 100-continue\r\n", 1))
	r := bufio.NewReader(c)
	line, err := r.ReadString('\n')
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect(line).To(HavePrefix("HTTP/1.1 100"))
	_, err = r.ReadString('\n')
	s.Expect(err).NotTo(HaveOccurred())
	_, err = io.WriteString(c, "0123456789")
	s.Expect(err).NotTo(HaveOccurred())
	response, err := http.ReadResponse(r, nil)
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect(response.StatusCode).To(Equal(http.StatusOK))
}

// Guards against a drain that gives up a body for a time in which this process stood still.
func TestStandstillInADrain(t *testing.T) {
	s := startGuarded(t, connlimit.Limits{}, readBody)
	arriving := s.open(t, post(50_000, 20_000))
	s.Eventually(s.gauges["http.test.body_bytes"], "5s").Should(BeNumerically(">=", 20_000))
	drained := make(chan error, 1)
	go func() { drained <- s.guard.Drain(t.Context()) }()
	time.Sleep(requestTimeout / 4)
	s.guard.mu.Lock()
	time.Sleep(2 * requestTimeout) // nothing is checked meanwhile
	s.guard.mu.Unlock()
	time.Sleep(requestTimeout / 10)
	_, err := io.WriteString(arriving, strings.Repeat("x", 30_000))
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect(status(arriving)).To(Equal(http.StatusOK))
	s.Expect(arriving.Close()).To(Succeed())
	s.Eventually(drained, "10s").Should(Receive(BeNil()))
}

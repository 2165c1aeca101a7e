package httpconn

import (
	"net"
	"strings"
	"syscall"
	"testing"

	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/gomega"
)

// failingListener fails to accept, as with exhausted file descriptors, for the number of
// calls in failures.
type failingListener struct {
	net.Listener
	failures int
}

func (e *failingListener) Accept() (net.Conn, error) {
	if e.failures > 0 {
		e.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return e.Listener.Accept()
}

// Guards against callers that get no response without a log line to explain it, and
// against a log line for each retry.
func TestFailedAcceptIsLoggedOnce(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	var lines []string
	log := funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	source := &failingListener{Listener: listener}
	logged := NewLoggingListener(source, log)
	for range 2 {
		source.failures = 3
		for range 3 {
			_, err := logged.Accept()
			g.Expect(err).To(HaveOccurred())
		}
		caller, err := net.Dial("tcp", listener.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		conn, err := logged.Accept()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(conn.Close()).To(Succeed())
		g.Expect(caller.Close()).To(Succeed())
	}
	g.Expect(logged.Close()).To(Succeed())
	_, err = logged.Accept()
	g.Expect(err).To(HaveOccurred())
	g.Expect(lines).To(HaveLen(2), strings.Join(lines, "\n"))
}

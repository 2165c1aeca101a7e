// Package crowd simulates the clients of an HTTP server that hold connections open: each sends a
// part of a request, or requests whose answers it does not read, and then stops.
package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// dialTimeout bounds a client's connect, and sendTimeout what it sends. A server may refuse or
	// close the connections of a crowd, so neither is an error of the crowd.
	dialTimeout = 10 * time.Second
	sendTimeout = 30 * time.Second
	// parallelDials limits the connects that are under way at the same time to the backlog of a listener.
	parallelDials = 64
)

// Crowd is a set of clients with one connection each.
type Crowd struct {
	clients []net.Conn
}

// Open connects n clients to addr and lets each send what send writes. It returns when all have
// sent it or have failed to; those keep their connection as well.
func Open(addr string, n int, send func(i int, w io.Writer) error) *Crowd {
	c := &Crowd{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, parallelDials)
	for i := range n {
		wg.Go(func() {
			slots <- struct{}{}
			client, err := net.DialTimeout("tcp", addr, dialTimeout)
			<-slots
			if err != nil {
				return
			}
			mu.Lock()
			c.clients = append(c.clients, client)
			mu.Unlock()
			if err := client.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
				return
			}
			_ = send(i, client) // the server may have closed the connection
		})
	}
	wg.Wait()
	return c
}

// Len returns the number of clients that have connected.
func (c *Crowd) Len() int { return len(c.clients) }

// Close closes all connections.
func (c *Crowd) Close() {
	for _, client := range c.clients {
		_ = client.Close() // the server may have closed it already
	}
}

// ReadStatuses reads the answer of each client, one after the other, and returns how many got each
// status. Clients without an answer within the timeout of them all count as 0.
func (c *Crowd) ReadStatuses(timeout time.Duration) map[int]int {
	deadline := time.Now().Add(timeout)
	statuses := map[int]int{}
	for _, client := range c.clients {
		statuses[readStatus(client, deadline)]++
	}
	return statuses
}

func readStatus(client net.Conn, deadline time.Time) int {
	if err := client.SetReadDeadline(deadline); err != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// Request is a request whose body a client sends in part.
type Request struct {
	Method, Path, Host string
	Header             string // further header lines, each with "\r\n"
	Body               string
	// Withheld is the number of bytes at the end of the body that are not sent.
	Withheld int
	// ChunkBytes is the size of the chunks; 0 sends the body with its length.
	ChunkBytes int
}

// Send sends the request.
func (r Request) Send(w io.Writer) error {
	b := bufio.NewWriterSize(w, 32<<10)
	framing := fmt.Sprintf("Content-Length: %d\r\n", len(r.Body))
	if r.ChunkBytes > 0 {
		framing = "Transfer-Encoding: chunked\r\n"
	}
	fmt.Fprintf(b, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n%s%s\r\n", r.Method, r.Path, r.Host, framing, r.Header)
	sent := r.Body[:max(len(r.Body)-r.Withheld, 0)]
	if r.ChunkBytes == 0 {
		_, _ = b.WriteString(sent) // Flush returns the error
		return errors.Wrap(b.Flush(), "send a request")
	}
	for len(sent) > 0 {
		n := min(r.ChunkBytes, len(sent))
		fmt.Fprintf(b, "%x\r\n%s\r\n", n, sent[:n])
		sent = sent[n:]
	}
	if r.Withheld == 0 {
		_, _ = b.WriteString("0\r\n\r\n")
	}
	return errors.Wrap(b.Flush(), "send a request")
}

// Filler returns the body of a job of the given length in bytes that decodes to next to nothing: one
// field that no server knows.
func Filler(length int) string {
	const start, end = `{"filler":"`, `"}`
	return start + strings.Repeat("x", max(length-len(start)-len(end), 0)) + end
}

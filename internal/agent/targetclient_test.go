package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/camphorrack/camphorrack/internal/attempt"
	"github.com/camphorrack/camphorrack/internal/invariant"
	"github.com/camphorrack/camphorrack/internal/targetapi"
	"github.com/camphorrack/camphorrack/internal/wire"
)

func TestAgent(t *testing.T) {
	RegisterFailHandler(Fail)
	invariant.SetCrashOnBreach(true)
	RunSpecs(t, "agent")
}

// rawTarget starts a TCP server that passes each connection to serve, for misbehaviour that
// net/http cannot produce, and returns its address.
func rawTarget(serve func(conn net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// task returns the start of task n of a job named "job".
func task(n int) *wire.Start {
	return &wire.Start{Seq: 1, Job: "job", Task: n, Class: "check", Payload: []byte("payload")}
}

// callOnce runs a task on the target at address with a new client.
func callOnce(address string, s *wire.Start) attempt.Outcome {
	c := newTargetClient(address, 4)
	defer c.close()
	return c.call(context.Background(), s).Outcome
}

var _ = Describe("a call to the target", func() {
	answer := func(status int, notRun bool, body string) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			payload, _ := io.ReadAll(r.Body)
			Expect(string(payload)).To(Equal("payload"))
			Expect(r.Header.Get(targetapi.HeaderTask)).To(Equal("job/7"))
			Expect(r.Header.Get(targetapi.HeaderClass)).To(Equal("check"))
			if notRun {
				w.Header().Set(targetapi.HeaderNotRun, "1")
			}
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		}))
		DeferCleanup(server.Close)
		return server.Listener.Addr().String()
	}

	DescribeTable("maps each response to an outcome",
		func(status int, notRun bool, body string, want wire.AttemptState, detail string) {
			out := callOnce(answer(status, notRun, body), task(7))
			Expect(out.State).To(Equal(want))
			Expect(out.Detail).To(ContainSubstring(detail))
			if want == wire.Succeeded {
				Expect(string(out.Result)).To(Equal(body))
			}
		},
		Entry("a result", 200, false, "result", wire.Succeeded, ""),
		Entry("rejected before it began", 503, true, "full", wire.NotRun, "full"),
		Entry("503 without the header may have run", 503, false, "oops", wire.FailedRun, "oops"),
		Entry("the header with another status does not count", 500, true, "oops", wire.FailedRun, "500"),
		Entry("a redirect is a failure and is not followed", 307, false, "", wire.FailedRun, "307"),
		Entry("a result that is too large", 200, false, strings.Repeat("x", maxResultBytes+1), wire.FailedRun, "larger"),
	)

	It("reports not run where nothing listens", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(listener.Close()).To(Succeed())
		out := callOnce(listener.Addr().String(), task(1))
		Expect(out.State).To(Equal(wire.NotRun))
		Expect(out.Reason).To(Equal(wire.ReasonTargetUnavailable))
	})

	// The target crashes after it has read the request, or in the middle of its answer. The task
	// may have run: a retry by the HTTP library would run it twice, for instance bill a sale
	// twice.
	DescribeTable("reports unknown where the answer is lost, and does not send again",
		func(reply string) {
			var seen sync.Map
			address := rawTarget(func(conn net.Conn) {
				defer func() { _ = conn.Close() }()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, again := seen.LoadOrStore(request.Header.Get(targetapi.HeaderTask), true)
				Expect(again).To(BeFalse(), "the request came twice")
				_, _ = io.WriteString(conn, reply)
			})
			Expect(callOnce(address, task(1)).State).To(Equal(wire.Unknown))
			Expect(callOnce(address, &wire.Start{Job: "empty", Class: "check"}).State).To(Equal(wire.Unknown))
		},
		Entry("no answer", ""),
		Entry("half an answer", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf"),
	)

	// The HTTP library writes in a separate goroutine. If that is scheduled after the call was
	// reported as not run, the write must fail: the owner has already moved the task.
	It("fails writes that begin after the request was found unwritten", func() {
		local, remote := net.Pipe()
		DeferCleanup(local.Close)
		DeferCleanup(remote.Close)
		Expect(local.SetDeadline(time.Now())).To(Succeed()) // a write that reaches the pipe times out
		conn := &trackedConn{Conn: local}
		var p writeTracker
		p.gotConn(conn)
		Expect(p.nothingWritten()).To(BeTrue())
		_, err := conn.Write([]byte("late"))
		Expect(err).To(MatchError(errSealed))
	})

	// A middlebox drops the state of an open connection: requests on it are lost, while new
	// connections work. A call on it would last until its deadline, and so would all later
	// calls on that connection.
	It("drops a connection that has gone silent and uses a new one", func() {
		var once sync.Once
		lost := make(chan struct{})
		address := rawTarget(func(conn net.Conn) {
			answer := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
			reader := bufio.NewReader(conn)
			for {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, answer)
				once.Do(func() {
					dropIncomingSegments(conn.(*net.TCPConn))
					close(lost)
				})
			}
		})
		c := newTargetClient(address, 4)
		DeferCleanup(c.close)
		Expect(c.call(context.Background(), task(1)).State).To(Equal(wire.Succeeded))
		Eventually(lost).Should(BeClosed()) // an earlier call would still be answered
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		Expect(c.call(ctx, task(2)).State).To(Equal(wire.Unknown))
		Expect(ctx.Err()).NotTo(HaveOccurred(), "the call must end before its deadline")
		Expect(c.call(ctx, task(3)).State).To(Equal(wire.Succeeded))
	})

	// Targets close idle connections at any time and restart, and callers cancel, at the
	// moment when a new request is sent. A wrong "not run" lets the task run a second time
	// elsewhere.
	It("never reports not run for a task that the target received", func() {
		var got sync.Map
		address := rawTarget(func(conn net.Conn) { closeAtRandom(conn, &got) })
		c := newTargetClient(address, 4)
		DeferCleanup(c.close)
		outcomes := map[wire.AttemptState]int{}
		var mu sync.Mutex
		var workers sync.WaitGroup
		for worker := range 4 {
			workers.Go(func() {
				defer GinkgoRecover()
				random := rand.New(rand.NewPCG(20261202, uint64(worker)))
				for n := range 400 {
					s := task(worker*1000 + n)
					ctx, cancel := context.WithTimeout(context.Background(), time.Duration(random.IntN(1000))*time.Microsecond)
					out := c.call(ctx, s)
					cancel()
					_, ran := got.Load(fmt.Sprintf("job/%d", s.Task))
					Expect(out.State == wire.NotRun && ran).To(BeFalse(), "task %d: %+v", s.Task, out)
					Expect(out.State == wire.Succeeded && !ran).To(BeFalse())
					mu.Lock()
					outcomes[out.State]++
					mu.Unlock()
				}
			})
		}
		workers.Wait()
		got.Range(func(_, times any) bool {
			Expect(times).To(Equal(1))
			return true
		})
		Expect(outcomes).To(HaveLen(3), "the outcomes not run, succeeded and unknown must all occur")
	})
})

// dropIncomingSegments makes the kernel drop all segments that arrive on the connection,
// without a reset.
func dropIncomingSegments(conn *net.TCPConn) {
	raw, err := conn.SyscallConn()
	Expect(err).NotTo(HaveOccurred())
	dropAll := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	program := &unix.SockFprog{Len: uint16(len(dropAll)), Filter: &dropAll[0]}
	var failure error
	err = raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, program)
	})
	Expect(errors.CombineErrors(failure, err)).NotTo(HaveOccurred())
}

// closeAtRandom answers some requests on a connection and closes it before, during or after
// one of them.
func closeAtRandom(conn net.Conn, got *sync.Map) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for rand.IntN(4) > 0 {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		name := request.Header.Get(targetapi.HeaderTask)
		if _, again := got.LoadOrStore(name, 1); again {
			got.Store(name, 2)
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil || rand.IntN(5) == 0 {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

// FuzzAnnouncement tests the decoder of announcements, which reads untrusted input from the
// agent's port. A fault must name the field, and no input may cause a panic.
func FuzzAnnouncement(f *testing.F) {
	for _, seed := range []string{
		`{"name":"t","address":"127.0.0.1:80","slots":8,"speed":1,"connections":64}`,
		`{"name":"t","address":"0.0.0.0:80","slots":8,"speed":1,"connections":64}`,
		`{"name":"t","slots":-1}`, `{"unknown":1}`, `{} {}`, `[`, `null`, ``, `{"speed":1e999}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		g := NewWithT(t)
		a, err := decodeAnnouncement(strings.NewReader(string(body)))
		if err == nil {
			g.Expect(a.Validate()).To(Succeed())
			g.Expect(a.Slots).To(BeNumerically(">", 0))
			return
		}
		g.Expect(err).To(HaveField("Field", Not(BeEmpty())))
	})
}

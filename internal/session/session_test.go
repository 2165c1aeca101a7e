package session_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/websocket"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/session"
	"github.com/camphorrack/camphorrack/internal/standin/relay"
	"github.com/camphorrack/camphorrack/internal/wire"
)

func TestSession(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "session")
}

var fastOptions = session.Options{HeartbeatInterval: 20 * time.Millisecond, SilenceTimeout: 200 * time.Millisecond}

// entrySide accepts agents and acknowledges each of their reports.
type entrySide struct {
	server *httptest.Server
	conns  chan *session.ToAgentConn
	ended  chan error
	gate   chan struct{} // if not nil, reports block until it is closed
}

func newEntrySide(o session.Options) *entrySide {
	e := &entrySide{conns: make(chan *session.ToAgentConn, 10), ended: make(chan error, 10)}
	e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, err := session.Accept(w, r, o)
		if err != nil {
			return
		}
		e.conns <- c
		e.ended <- c.Serve(func(f *wire.ToEntry) error {
			if f.Hello != nil {
				c.Send(&wire.ToAgent{Welcome: &wire.Welcome{}})
			}
			for _, r := range f.Reports {
				if e.gate != nil {
					<-e.gate
				}
				c.Send(&wire.ToAgent{Acks: []uint64{r.Seq}})
			}
			return nil
		})
	}))
	DeferCleanup(e.server.Close)
	return e
}

func (e *entrySide) addr() string { return strings.TrimPrefix(e.server.URL, "http://") }

// agentSide dials and waits for the Welcome. The channel acks receives acknowledgements in order.
func agentSide(addr string, o session.Options) (conn *session.ToEntryConn, acks chan uint64, ended chan error) {
	c, err := session.Dial(context.Background(), addr, o)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { c.Close(nil) })
	acks, ended = make(chan uint64, 10000), make(chan error, 1)
	c.Send(&wire.ToEntry{Hello: &wire.Hello{Version: wire.Version}})
	welcomed := make(chan struct{})
	go func() {
		ended <- c.Serve(func(f *wire.ToAgent) error {
			if f.Welcome != nil {
				close(welcomed)
			}
			for _, a := range f.Acks {
				acks <- a
			}
			return nil
		})
	}()
	Eventually(welcomed, "5s").Should(BeClosed())
	return c, acks, ended
}

func reasonOf(err error) session.Reason {
	var closed *session.CloseError
	Expect(errors.As(err, &closed)).To(BeTrue(), "%v", err)
	return closed.Reason
}

var _ = Describe("a connection", func() {
	It("delivers frames in order and stays open by heartbeats while idle", func() {
		var counters session.Counters
		o := fastOptions
		o.Counters = &counters
		entry := newEntrySide(fastOptions)
		conn, acks, ended := agentSide(entry.addr(), o)
		for i := uint64(1); i <= 500; i++ {
			conn.Send(&wire.ToEntry{Reports: []wire.Report{{Seq: i, Result: make([]byte, int(i)*40)}}})
		}
		for i := uint64(1); i <= 500; i++ {
			Eventually(acks).Should(Receive(Equal(i)))
		}
		Consistently(ended, 3*fastOptions.SilenceTimeout).ShouldNot(Receive())
		Expect(counters.Heartbeats.Load()).To(BeNumerically(">", 0))
		Expect(counters.FramesIn.Load()).To(BeNumerically(">", 500))
		Expect(counters.BytesOut.Load()).To(BeNumerically(">", 500*500/2*40))

		conn.Close(nil)
		Eventually(ended).Should(Receive(WithTransform(reasonOf, Equal(session.ReasonLocal))))
		Eventually(entry.ended).Should(Receive(WithTransform(reasonOf, Equal(session.ReasonPeer))))
	})

	// A middlebox drops the connection's state. Both TCP ends regard it as open, so
	// without application heartbeats the result of a started task would be delayed for
	// minutes and the caller would miss its deadline.
	It("extends frames only to a peer that negotiated them, so that an earlier build rejects none", func() {
		entry := newEntrySide(fastOptions)
		conn, err := session.Dial(context.Background(), strings.TrimPrefix(entry.server.URL, "http://"), fastOptions)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close(nil)
		Expect(conn.Features()).To(Equal(wire.DescribedFeatures))
		Expect(conn.Confirms()).To(BeTrue())
		accepted := <-entry.conns
		Expect(accepted.Features()).To(Equal(wire.DescribedFeatures))
		Expect(accepted.Confirms()).To(BeTrue())

		ws, _, err := websocket.DefaultDialer.Dial("ws"+strings.TrimPrefix(entry.server.URL, "http")+session.Path, nil)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = ws.Close() }()
		Expect((<-entry.conns).Features()).To(Equal(wire.BaseFeatures))

		earlier := websocket.Dialer{Subprotocols: []string{session.ExtendedProtocol}}
		ws, _, err = earlier.Dial("ws"+strings.TrimPrefix(entry.server.URL, "http")+session.Path, nil)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = ws.Close() }()
		accepted = <-entry.conns
		Expect(accepted.Features()).To(Equal(wire.ExtendedFeatures))
		Expect(accepted.Confirms()).To(BeFalse())
		Expect(ws.WriteMessage(websocket.BinaryMessage, encoded(&wire.ToEntry{Seq: 1, Hello: &wire.Hello{}}))).To(Succeed())
		Eventually(accepted.ReceivedSeq).Should(Equal(uint64(1)))
		accepted.Confirm(1)
		for range 5 {
			_, data, err := ws.ReadMessage()
			Expect(err).NotTo(HaveOccurred())
			f, err := wire.Decode[wire.ToAgent](data)
			Expect(err).NotTo(HaveOccurred())
			Expect(f.Confirmed).To(BeZero())
		}
	})

	// The peer renews the lease of its runs by a confirmation. If one arrived before the recall of a
	// run that the confirming end no longer wanted, the run could go on beside the next one.
	It("delivers no confirmation before a frame that was queued earlier", func() {
		conns := make(chan *session.ToAgentConn, 1)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			c, err := session.Accept(w, r, fastOptions)
			if err != nil {
				return
			}
			conns <- c
			_ = c.Serve(func(*wire.ToEntry) error { return nil })
		}))
		DeferCleanup(server.Close)
		conn, err := session.Dial(context.Background(), strings.TrimPrefix(server.URL, "http://"), fastOptions)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { conn.Close(nil) })
		entry := <-conns
		// Each frame of the agent has its number as the version, and the entry recalls that number
		// before it confirms the frame.
		stop := make(chan struct{})
		defer close(stop)
		go func() {
			for i := uint64(1); ; i++ {
				conn.Send(&wire.ToEntry{Version: i})
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Microsecond):
				}
			}
		}()
		go func() {
			for last := uint64(0); entry.Err() == nil; {
				seq := entry.ReceivedSeq()
				for ; last < seq; last++ {
					entry.Send(&wire.ToAgent{Version: last + 1})
				}
				entry.Confirm(seq)
			}
		}()
		verdict := make(chan string, 1)
		go func() {
			recalled, confirmations, started := uint64(0), 0, time.Now()
			_ = conn.Serve(func(f *wire.ToAgent) error {
				recalled = max(recalled, f.Version)
				if f.Confirmed > recalled {
					verdict <- fmt.Sprint("frame ", f.Seq, " confirms ", f.Confirmed, " after the recall of ", recalled)
					return errors.New("out of order")
				}
				if f.Confirmed > 0 {
					confirmations++
				}
				if confirmations > 100 && time.Since(started) > 500*time.Millisecond {
					verdict <- "in order"
					return errors.New("done")
				}
				return nil
			})
		}()
		Eventually(verdict, "10s").Should(Receive(Equal("in order")))
		Expect(conn.ConfirmedAt()).To(BeTemporally("~", time.Now(), 2*time.Second))
	})

	// A process whose control goroutine is late still reads frames. Its acknowledgements go on, and its
	// confirmations must not.
	It("confirms nothing by itself", func() {
		entry := newEntrySide(fastOptions)
		conn, _, _ := agentSide(entry.addr(), fastOptions)
		Consistently(conn.ConfirmedAt, "200ms").Should(BeZero())
		Expect(conn.AcknowledgedAt()).NotTo(BeZero())
		accepted := <-entry.conns
		sentBefore := time.Now()
		accepted.Confirm(accepted.ReceivedSeq())
		Eventually(conn.ConfirmedAt).ShouldNot(BeZero())
		Expect(conn.ConfirmedAt()).To(BeTemporally("<", sentBefore))
		first := conn.ConfirmedAt()
		Consistently(conn.ConfirmedAt, "100ms").Should(Equal(first))
	})

	It("ends when packets are dropped in both directions, and a new connection works", func() {
		entry := newEntrySide(fastOptions)
		r := startRelay(entry.addr())
		_, _, ended := agentSide(r.Addr(), fastOptions)
		r.BlackholeOpen(true, true)
		// Either side may first detect missing frames or missing acknowledgements.
		noticed := WithTransform(reasonOf, Or(Equal(session.ReasonSilent), Equal(session.ReasonUnacknowledged)))
		Eventually(ended, "5s").Should(Receive(noticed))
		Eventually(entry.ended, "5s").Should(Receive(noticed))

		again, acks, _ := agentSide(r.Addr(), fastOptions)
		again.Send(&wire.ToEntry{Reports: []wire.Report{{Seq: 8}}})
		Eventually(acks, "5s").Should(Receive(Equal(uint64(8))))
	})

	// Packets are dropped in one direction only. The side whose frames are lost still
	// receives heartbeats, so it must detect the missing acknowledgements. Otherwise an
	// agent's results, or an entry's starts, would never arrive. The receiving side has a
	// timeout of a minute here, so that only the sending side can close the connection.
	It("ends when the agent's frames are lost and the entry's arrive", func() {
		entry := newEntrySide(session.Options{HeartbeatInterval: fastOptions.HeartbeatInterval, SilenceTimeout: time.Minute})
		r := startRelay(entry.addr())
		_, _, ended := agentSide(r.Addr(), fastOptions)
		r.BlackholeOpen(true, false)
		Eventually(ended, "5s").Should(Receive(WithTransform(reasonOf, Equal(session.ReasonUnacknowledged))))
	})
	It("ends when the entry's frames are lost and the agent's arrive", func() {
		entry := newEntrySide(fastOptions)
		r := startRelay(entry.addr())
		agentSide(r.Addr(), session.Options{HeartbeatInterval: fastOptions.HeartbeatInterval, SilenceTimeout: time.Minute})
		Eventually(entry.conns).Should(Receive())
		r.BlackholeOpen(false, true)
		Eventually(entry.ended, "5s").Should(Receive(WithTransform(reasonOf, Equal(session.ReasonUnacknowledged))))
	})

	// An idle connection has long timeouts, and its path fails meanwhile. The loss of the
	// first start sent over it must be detected within the short timeout.
	It("ends soon after the first frame that is lost on an idle connection", func() {
		o := session.Options{HeartbeatInterval: 20 * time.Millisecond, SilenceTimeout: 200 * time.Millisecond, ActiveWindow: 50 * time.Millisecond,
			IdleHeartbeatInterval: 50 * time.Millisecond, IdleSilenceTimeout: time.Minute}
		entry := newEntrySide(o)
		r := startRelay(entry.addr())
		conn, _, ended := agentSide(r.Addr(), o)
		Consistently(ended, 2*o.SilenceTimeout).ShouldNot(Receive())
		r.BlackholeOpen(true, true)
		Consistently(ended, 2*o.SilenceTimeout).ShouldNot(Receive())
		conn.Send(&wire.ToEntry{Reports: []wire.Report{{Seq: 1}}})
		Eventually(ended, "5s").Should(Receive(WithTransform(reasonOf, Not(Equal(session.ReasonLocal)))))
	})

	// A peer reads more slowly than frames are queued for it. Without a bound, the queue
	// for this one peer would exhaust the memory of the process.
	It("ends when the send queue exceeds its bound", func() {
		entry := newEntrySide(session.Options{SilenceTimeout: time.Minute})
		entry.gate = make(chan struct{})
		DeferCleanup(func() { close(entry.gate) })
		conn, _, ended := agentSide(entry.addr(), session.Options{SilenceTimeout: time.Minute, MaxQueueBytes: 1 << 20})
		for range 100 {
			conn.Send(&wire.ToEntry{Reports: []wire.Report{{Result: make([]byte, 512<<10)}}})
		}
		Eventually(ended, "5s").Should(Receive(WithTransform(reasonOf, Equal(session.ReasonOverflow))))
	})

	// A peer of another version, or a foreign client, sends invalid frames. Decoding one
	// in part could start or settle the wrong attempt.
	DescribeTable("ends on a malformed frame", func(messages ...[]byte) {
		entry := newEntrySide(session.Options{MaxFrameBytes: 1000})
		ws, _, err := websocket.DefaultDialer.Dial("ws://"+entry.addr()+session.Path, nil)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ws.Close)
		for _, m := range messages {
			Expect(ws.WriteMessage(websocket.BinaryMessage, m)).To(Succeed())
		}
		Eventually(entry.ended, "5s").Should(Receive(WithTransform(reasonOf, Equal(session.ReasonFrame))))
	},
		Entry("that is not CBOR", []byte("GET / HTTP/1.1")),
		Entry("with an unknown field", []byte("\xa3\x01\x01\x02\x00\x18\x63\x01")),
		Entry("that skips a sequence number", encoded(&wire.ToEntry{Seq: 1}), encoded(&wire.ToEntry{Seq: 3})),
		Entry("that repeats a sequence number", encoded(&wire.ToEntry{Seq: 1}), encoded(&wire.ToEntry{Seq: 1})),
		Entry("that acknowledges a frame that was never sent", encoded(&wire.ToEntry{Seq: 1, AckSeq: 5})),
		Entry("that confirms a frame that was never sent", encoded(&wire.ToEntry{Seq: 1, Confirmed: 5})),
		Entry("that is too large", encoded(&wire.ToEntry{Seq: 1, Config: make([]byte, 2000)})),
	)
})

func startRelay(target string) *relay.Relay {
	r, err := relay.New()
	Expect(err).NotTo(HaveOccurred())
	r.SetTarget(target)
	DeferCleanup(r.Close)
	return r
}

func encoded(f *wire.ToEntry) []byte {
	b, err := wire.Encode(f)
	if err != nil {
		panic(err)
	}
	return b
}

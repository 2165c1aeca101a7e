package watchdog

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// checksUntilSilent runs a check after each gap and returns the number of the first check that
// reports the peer as silent, or 0 if none does.
func checksUntilSilent(limit time.Duration, gaps ...time.Duration) int {
	now := time.UnixMilli(0)
	s := newCounter(now, limit)
	for i, gap := range gaps {
		now = now.Add(gap)
		if s.check(now) {
			return i + 1
		}
	}
	return 0
}

func repeat(gap time.Duration, n int) []time.Duration {
	gaps := make([]time.Duration, n)
	for i := range gaps {
		gaps[i] = gap
	}
	return gaps
}

// Guards against a pause of the calling process being taken for silence of a peer that has replied.
func TestPauseOfTheCallerIsNotSilenceOfThePeer(t *testing.T) {
	g := NewWithT(t)
	const limit = 800 * time.Millisecond
	onTime := limit / quantaPerLimit
	g.Expect(checksUntilSilent(limit, repeat(onTime, 20)...)).To(Equal(quantaPerLimit), "a silent peer is detected at the limit")
	g.Expect(checksUntilSilent(limit, append([]time.Duration{time.Minute}, repeat(onTime, 20)...)...)).To(Equal(quantaPerLimit))
	late := append(repeat(onTime, quantaPerLimit-1), time.Minute)
	g.Expect(checksUntilSilent(limit, late...)).To(BeZero(), "a pause in the last quantum")
	g.Expect(checksUntilSilent(limit, append(late, onTime)...)).To(Equal(quantaPerLimit+1), "one more quantum gave the process time to read a reply")
	g.Expect(checksUntilSilent(limit, repeat(time.Second, 100)...)).To(BeZero(), "a process that is starved of processor time")
	g.Expect(checksUntilSilent(limit, append(repeat(time.Second, 100), onTime)...)).To(Equal(101))
}

// Guards against aborting a call whose reply arrives slowly.
func TestProgressResetsTheCounter(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(0)
	s := newCounter(now, time.Second)
	for range 100 {
		for range quantaPerLimit - 1 {
			now = now.Add(time.Second / quantaPerLimit)
			g.Expect(s.check(now)).To(BeFalse())
		}
		s.reset(now)
	}
}

// Guards against a connection that is closed when the context of its dial ends, and against a
// dial that continues after its caller's context is cancelled.
func TestDialerFollowsTheCallersContext(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	conn, err := Dialer(time.Minute)(context.Background(), "tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	_, err = conn.Write([]byte("x"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(conn.Close()).To(Succeed())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = Dialer(time.Minute)(ctx, "tcp", listener.Addr().String())
	g.Expect(err).To(MatchError(context.Canceled))
}

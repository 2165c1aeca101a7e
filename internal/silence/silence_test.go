package silence

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// looks replays the times of an observer's looks, as gaps between them, and returns the
// number of the one at which the peer was given up; 0: never.
func looks(limit time.Duration, gaps ...time.Duration) int {
	now := time.UnixMilli(0)
	s := newCounter(now, limit)
	for i, gap := range gaps {
		now = now.Add(gap)
		if s.look(now) {
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

// Guards against a peer that answered being given up for the caller's own standstill.
func TestOwnStandstillIsNotThePeersSilence(t *testing.T) {
	g := NewWithT(t)
	const limit = 800 * time.Millisecond
	onTime := limit / quanta
	g.Expect(looks(limit, repeat(onTime, 20)...)).To(Equal(quanta), "a silent peer is found in time")
	g.Expect(looks(limit, append([]time.Duration{time.Minute}, repeat(onTime, 20)...)...)).To(Equal(quanta))
	late := append(repeat(onTime, quanta-1), time.Minute)
	g.Expect(looks(limit, late...)).To(BeZero(), "a standstill in the last quantum")
	g.Expect(looks(limit, append(late, onTime)...)).To(Equal(quanta+1), "after one more, it had the time to be heard")
	g.Expect(looks(limit, repeat(time.Second, 100)...)).To(BeZero(), "a process that hardly runs")
	g.Expect(looks(limit, append(repeat(time.Second, 100), onTime)...)).To(Equal(101))
}

// Guards against giving up a reply that arrives slowly.
func TestSignsOfLifeEndASilence(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(0)
	s := newCounter(now, time.Second)
	for range 100 {
		for range quanta - 1 {
			now = now.Add(time.Second / quanta)
			g.Expect(s.look(now)).To(BeFalse())
		}
		s.heard(now)
	}
}

// Guards against a connection that ends with the dial that made it, and against a dial
// that outlasts its caller.
func TestDialerFollowsItsCaller(t *testing.T) {
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

package control

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/clock"
)

// Guards against a blocked control goroutine that is not reported.
func TestTurnsAreReportedWithTheirQueueLength(t *testing.T) {
	g := NewWithT(t)
	turns := make(chan Turn, 16)
	l := New(Options[int]{
		Clock: clock.NewFake(time.UnixMilli(1)), MaxCommands: 8, MaxBatch: 2,
		Tick: func(time.Time, int) {}, TickInterval: func(int) time.Duration { return time.Hour }, Flush: func(int) {},
		OnTurn: func(turn Turn) { turns <- turn },
	})
	const held = 20 * time.Millisecond
	entered, leave := make(chan struct{}), make(chan struct{})
	go l.Run()
	g.Expect(l.Push(func(time.Time, int) { close(entered); <-leave })).To(Succeed())
	<-entered
	for range 4 {
		g.Expect(l.Push(func(time.Time, int) {})).To(Succeed())
	}
	time.Sleep(held)
	close(leave)
	first := <-turns
	g.Expect(first.Duration).To(BeNumerically(">=", held))
	g.Expect(first.Commands).To(Equal(2))
	g.Expect(first.QueuedCommands).To(Equal(3))
	g.Expect((<-turns).Commands).To(Equal(2))
	g.Expect((<-turns).QueuedCommands).To(BeZero())
	l.Stop()
}

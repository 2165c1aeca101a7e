package session

import "sync"

// queue holds frames between their senders and the writing goroutine. It is
// bounded by estimated bytes and not by frames, whose sizes differ a thousandfold.
type queue[T any] struct {
	ready chan struct{} // holds one token while the writer should look

	mu     sync.Mutex
	frames []*T
	bytes  int
	limit  int
	closed bool
}

func newQueue[T any](limit int) *queue[T] {
	return &queue[T]{ready: make(chan struct{}, 1), limit: limit}
}

// push reports false when the queue is full. A closed queue swallows the frame.
func (q *queue[T]) push(f *T, weight int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return true
	}
	if q.bytes+weight > q.limit {
		return false
	}
	q.frames = append(q.frames, f)
	q.bytes += weight
	q.wake()
	return true
}

// wake makes the writing goroutine look, whether or not a frame waits.
func (q *queue[T]) wake() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// take empties the queue.
func (q *queue[T]) take() []*T {
	q.mu.Lock()
	defer q.mu.Unlock()
	frames := q.frames
	q.frames, q.bytes = nil, 0
	return frames
}

func (q *queue[T]) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.frames, q.bytes = nil, 0
}

package session

import "sync"

// queue is the send queue of a connection, drained by the writing goroutine. It is bounded
// by estimated bytes and not by the number of frames, because frame sizes differ by a
// factor of a thousand.
type queue[T any] struct {
	ready chan struct{} // holds a token while the writer has a frame to write or a check to make

	mu     sync.Mutex
	frames []*T
	bytes  int
	limit  int
	closed bool
}

func newQueue[T any](limit int) *queue[T] {
	return &queue[T]{ready: make(chan struct{}, 1), limit: limit}
}

// push appends a frame of the given estimated size in bytes, and reports false if the queue is
// full. A closed queue drops the frame and reports true.
func (q *queue[T]) push(f *T, size int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return true
	}
	if q.bytes+size > q.limit {
		return false
	}
	q.frames = append(q.frames, f)
	q.bytes += size
	q.wake()
	return true
}

// wake wakes the writing goroutine, also with an empty queue, so that it checks the connection.
func (q *queue[T]) wake() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// drain removes and returns all frames.
func (q *queue[T]) drain() []*T {
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

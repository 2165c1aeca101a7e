package queueing

import "container/heap"

// Item is an element of a Queue. The caller of Push keeps it to move or remove the value.
type Item[T any] struct {
	Value T
	rank  int64
	seq   uint64
	index int
}

// Rank returns the rank under which the item was last queued.
func (it *Item[T]) Rank() int64 { return it.rank }

// Queued reports whether the item is still in its queue.
func (it *Item[T]) Queued() bool { return it.index >= 0 }

// Queue is a priority queue of values by rank, the lowest first; values of equal rank leave
// in the order of their arrival. The zero value is an empty queue. It is not safe for
// concurrent use.
type Queue[T any] struct {
	items items[T]
	seq   uint64
}

// Len returns the number of queued values.
func (q *Queue[T]) Len() int { return len(q.items) }

// Push adds v under the rank.
func (q *Queue[T]) Push(v T, rank int64) *Item[T] {
	q.seq++
	it := &Item[T]{Value: v, rank: rank, seq: q.seq}
	heap.Push(&q.items, it)
	return it
}

// Fix moves a queued item to a new rank. It does nothing to an item that is not queued.
func (q *Queue[T]) Fix(it *Item[T], rank int64) {
	if !it.Queued() || it.rank == rank {
		return
	}
	it.rank = rank
	heap.Fix(&q.items, it.index)
}

// Remove removes the item. It does nothing to an item that is not queued.
func (q *Queue[T]) Remove(it *Item[T]) {
	if it.Queued() {
		heap.Remove(&q.items, it.index)
	}
}

// Min returns the item with the lowest rank without removing it, or nil.
func (q *Queue[T]) Min() *Item[T] {
	if len(q.items) == 0 {
		return nil
	}
	return q.items[0]
}

// Each calls visit for every item, in no particular order, until visit returns false.
func (q *Queue[T]) Each(visit func(*Item[T]) bool) {
	for _, it := range q.items {
		if !visit(it) {
			return
		}
	}
}

// items implements heap.Interface.
type items[T any] []*Item[T]

func (h items[T]) Len() int { return len(h) }

func (h items[T]) Less(i, j int) bool {
	if h[i].rank != h[j].rank {
		return h[i].rank < h[j].rank
	}
	return h[i].seq < h[j].seq
}

func (h items[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *items[T]) Push(x any) {
	it := x.(*Item[T])
	it.index = len(*h)
	*h = append(*h, it)
}

func (h *items[T]) Pop() any {
	old := *h
	last := len(old) - 1
	it := old[last]
	old[last] = nil
	*h = old[:last]
	it.index = -1
	return it
}

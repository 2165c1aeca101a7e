package runtimes

import (
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// ByQueue holds a value per queue name. At its limit the least recently used one is dropped. It is
// not safe for concurrent use.
type ByQueue[V any] = simplelru.LRU[string, V]

// NewByQueue returns an empty ByQueue for at most limit queues, which must be positive.
func NewByQueue[V any](limit int) *ByQueue[V] {
	queues, err := simplelru.NewLRU[string, V](limit, nil)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "limit of queues"))
	}
	return queues
}

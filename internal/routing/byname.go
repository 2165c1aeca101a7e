package routing

// ByName returns the queue with a name; nil if there is none, or if queues of that name differ
// in more than the requests that belong to them.
func (t *Table) ByName(name string) (found *Queue) {
	for _, list := range t.byHost {
		for _, q := range list {
			if q.Name != name {
				continue
			}
			if found != nil && !sameRules(found, q) {
				return nil
			}
			found = q
		}
	}
	return found
}

// sameRules reports whether two queues are equal but for their hosts and path prefixes.
func sameRules(a, b *Queue) bool {
	x, y := *a, *b
	x.Host, x.PathPrefix = y.Host, y.PathPrefix
	return x == y
}

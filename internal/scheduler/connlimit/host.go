package connlimit

// Host is what a process has on its host; 0: unknown.
type Host struct {
	MemoryBytes int64
	Descriptors int // for connections
}

const (
	// Parts of the descriptors, as divisors: for callers, for connections that are to carry a session, and
	// for each other endpoint. After a restart of the fleet, all agents dial the same few entries. The rest
	// is for open sessions and the store.
	callerShare   = 2
	sessionShare  = 4
	endpointShare = 16
	// memoryShare is the part of the memory, as a divisor, for each of the connections of callers, their
	// bodies and their jobs. The garbage collector lets the heap grow to twice of what is in use.
	memoryShare = 8
	// connBytes is the memory of a connection with a request: stacks of its goroutines, buffers of
	// net/http and the header.
	connBytes = 20 << 10
)

// ForCallers returns the limits of an endpoint for callers.
func ForCallers(h Host) Limits {
	l := Limits{Conns: share(h.Descriptors, callerShare), Bytes: h.MemoryBytes / memoryShare}
	if byMemory := int(h.MemoryBytes / memoryShare / connBytes); byMemory > 0 && (l.Conns == 0 || byMemory < l.Conns) {
		l.Conns = byMemory
	}
	return l
}

// JobBytes returns the memory for jobs that are admitted; 0: unlimited.
func JobBytes(h Host) int64 { return h.MemoryBytes / memoryShare }

// ForSessions returns the limits of an endpoint for sessions. They apply to connections before their
// handshake.
func ForSessions(h Host) Limits {
	return Limits{Conns: share(h.Descriptors, sessionShare), Bytes: h.MemoryBytes / memoryShare}
}

// ForEndpoint returns the limits of any other endpoint.
func ForEndpoint(h Host) Limits {
	return Limits{Conns: share(h.Descriptors, endpointShare), Bytes: h.MemoryBytes / memoryShare}
}

// share returns n/divisor, but at least 1 unless n is 0, which stands for no limit.
func share(n, divisor int) int { return max(n/divisor, min(n, 1)) }

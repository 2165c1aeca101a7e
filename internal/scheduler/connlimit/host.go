package connlimit

// Host is what a process has on its host; 0: unknown.
type Host struct {
	MemoryBytes int64
	Descriptors int // for connections
}

const (
	// Of the descriptors, 3/4 are for callers. The rest is for sessions, the store, and the other
	// endpoints, each of which may take 1/16 for connections that carry no session.
	callerShareNum, callerShareDen = 3, 4
	endpointShare                  = 16
	// memoryShare is the part of the memory, as a divisor, for the connections of callers, and again for
	// their bodies. Decoding a body takes as much again, and the garbage collector lets the heap grow to
	// twice of what is in use.
	memoryShare = 8
	// connBytes is the memory of a connection with a request: stacks of its goroutines, buffers of
	// net/http and the header.
	connBytes = 20 << 10
)

// ForCallers returns the limits of an endpoint for callers.
func ForCallers(h Host) Limits {
	l := Limits{Conns: h.Descriptors * callerShareNum / callerShareDen, Bytes: h.MemoryBytes / memoryShare}
	if byMemory := int(h.MemoryBytes / memoryShare / connBytes); byMemory > 0 && (l.Conns == 0 || byMemory < l.Conns) {
		l.Conns = byMemory
	}
	return l
}

// ForEndpoint returns the limits of any other endpoint.
func ForEndpoint(h Host) Limits {
	return Limits{Conns: h.Descriptors / endpointShare, Bytes: h.MemoryBytes / memoryShare}
}

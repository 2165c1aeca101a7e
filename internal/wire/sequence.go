package wire

// frameOverhead is an upper estimate of the encoded size, in bytes, of one element of a frame
// without its payload.
const frameOverhead = 64

// Stamp sets the frame's sequence number, and its acknowledgement and confirmation of the peer's frames.
func (f *ToEntry) Stamp(seq, ack, confirmed uint64) {
	f.Seq, f.AckSeq, f.Confirmed = seq, ack, confirmed
}

// Sequence returns the frame's sequence number and the highest number that it acknowledges.
func (f *ToEntry) Sequence() (seq, ack uint64) { return f.Seq, f.AckSeq }

// Confirmation returns the highest number that the frame confirms; 0: none.
func (f *ToEntry) Confirmation() uint64 { return f.Confirmed }

// IsHeartbeat reports whether the frame has no content besides its sequence numbers.
func (f *ToEntry) IsHeartbeat() bool {
	return f.Hello == nil && f.Target == nil && len(f.Reports) == 0 && f.Credits == nil &&
		len(f.Config) == 0 && f.Version == 0 && len(f.Entries) == 0 && f.Leased == nil && f.Handover == nil
}

// EstimatedBytes estimates the encoded size of the frame in bytes, for the bound of a send
// queue.
func (f *ToEntry) EstimatedBytes() int {
	n := frameOverhead + len(f.Config) + f.Leased.estimatedBytes() + f.Handover.estimatedBytes()
	for i := range f.Reports {
		n += frameOverhead + len(f.Reports[i].Result) + len(f.Reports[i].Detail)
	}
	return n
}

// Stamp sets the frame's sequence number, and its acknowledgement and confirmation of the peer's frames.
func (f *ToAgent) Stamp(seq, ack, confirmed uint64) {
	f.Seq, f.AckSeq, f.Confirmed = seq, ack, confirmed
}

// Sequence returns the frame's sequence number and the highest number that it acknowledges.
func (f *ToAgent) Sequence() (seq, ack uint64) { return f.Seq, f.AckSeq }

// Confirmation returns the highest number that the frame confirms; 0: none.
func (f *ToAgent) Confirmation() uint64 { return f.Confirmed }

// IsHeartbeat reports whether the frame has no content besides its sequence numbers.
func (f *ToAgent) IsHeartbeat() bool {
	return f.Welcome == nil && len(f.Starts) == 0 && len(f.Cancels) == 0 && len(f.Queries) == 0 && len(f.Acks) == 0 &&
		f.Settled == 0 && f.Demand == nil && len(f.Config) == 0 && f.Version == 0 && len(f.Entries) == 0 && !f.Leaving && f.Leased == nil && f.Handover == nil
}

// EstimatedBytes estimates the encoded size of the frame in bytes, for the bound of a send
// queue.
func (f *ToAgent) EstimatedBytes() int {
	const maxIntegerBytes = 9 // longest CBOR integer
	n := frameOverhead + len(f.Config) + f.Leased.estimatedBytes() + f.Handover.estimatedBytes() + maxIntegerBytes*(len(f.Cancels)+len(f.Queries)+len(f.Acks))
	for i := range f.Starts {
		n += frameOverhead + len(f.Starts[i].Payload) + len(f.Starts[i].Job)
	}
	return n
}

package wire

// frameOverhead is a generous guess of the encoded size of one part of a frame
// without its payloads, in bytes.
const frameOverhead = 64

// Stamp numbers the frame and acknowledges the other side's frames.
func (f *ToEntry) Stamp(seq, heard uint64) { f.Seq, f.AckSeq = seq, heard }

// Sequence returns the frame's number and the highest number its sender heard.
func (f *ToEntry) Sequence() (seq, heard uint64) { return f.Seq, f.AckSeq }

// IsHeartbeat reports whether the frame carries nothing but its numbers.
func (f *ToEntry) IsHeartbeat() bool {
	return f.Hello == nil && f.Target == nil && len(f.Reports) == 0 && f.Credits == nil &&
		len(f.Config) == 0 && f.Version == 0 && len(f.Entries) == 0 && f.Leased == nil
}

// EstimatedBytes estimates the frame's encoded size in bytes, without encoding it.
func (f *ToEntry) EstimatedBytes() int {
	n := frameOverhead + len(f.Config) + f.Leased.weight()
	for i := range f.Reports {
		n += frameOverhead + len(f.Reports[i].Result) + len(f.Reports[i].Detail)
	}
	return n
}

// Stamp numbers the frame and acknowledges the other side's frames.
func (f *ToAgent) Stamp(seq, heard uint64) { f.Seq, f.AckSeq = seq, heard }

// Sequence returns the frame's number and the highest number its sender heard.
func (f *ToAgent) Sequence() (seq, heard uint64) { return f.Seq, f.AckSeq }

// IsHeartbeat reports whether the frame carries nothing but its numbers.
func (f *ToAgent) IsHeartbeat() bool {
	return f.Welcome == nil && len(f.Starts) == 0 && len(f.Cancels) == 0 && len(f.Queries) == 0 && len(f.Acks) == 0 &&
		f.Settled == 0 && f.Demand == nil && len(f.Config) == 0 && f.Version == 0 && len(f.Entries) == 0 && !f.Leaving && f.Leased == nil
}

// EstimatedBytes estimates the frame's encoded size in bytes, without encoding it.
func (f *ToAgent) EstimatedBytes() int {
	const number = 9 // the longest CBOR integer
	n := frameOverhead + len(f.Config) + f.Leased.weight() + number*(len(f.Cancels)+len(f.Queries)+len(f.Acks))
	for i := range f.Starts {
		n += frameOverhead + len(f.Starts[i].Payload) + len(f.Starts[i].Job)
	}
	return n
}

package wire

// MaxRunTimes is the largest number of queues whose run times one agent reports. A larger number
// in a frame is ignored.
const MaxRunTimes = 32

// RunTimes summarises the completed runs of one queue, of all entries, at an agent's target.
type RunTimes struct {
	Queue string `cbor:"1,keyasint"`
	Count int64  `cbor:"2,keyasint"` // completions, of which old ones are dropped
	// Quantiles are those of run time over expected run time for runtimes.SummaryShares; they rise.
	// With single precision, a summary is about 60 bytes.
	Quantiles []float32 `cbor:"3,keyasint"`
}

// estimatedBytes estimates the encoded size in bytes.
func (r *RunTimes) estimatedBytes() int { return frameOverhead + len(r.Queue) + 5*len(r.Quantiles) }

package wire

// QueueLoad is the load of one queue at an agent's target: averages and counts of about the last
// second. Extended.
type QueueLoad struct {
	Queue       string  `cbor:"1,keyasint"`
	InUseMilli  int64   `cbor:"2,keyasint,omitempty"` // processor in use, in thousandths of a core
	QueuedMilli int64   `cbor:"3,keyasint,omitempty"` // processor that queued tasks demand
	LateShare   float64 `cbor:"4,keyasint,omitempty"` // share of Tasks that could not start in time for lack of capacity
	Tasks       int64   `cbor:"5,keyasint,omitempty"` // tasks that were started, or returned for lack of capacity
}

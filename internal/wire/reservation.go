package wire

import "github.com/camphorrack/camphorrack/internal/job"

// Reservation requests an agent to offer capacity for one task when its turn in the queue comes.
// It never starts anything.
type Reservation struct {
	Seq        uint64     `cbor:"1,keyasint"` // of the same series as that of orders
	Job        string     `cbor:"2,keyasint"`
	Step       int        `cbor:"3,keyasint,omitempty"`
	Index      int        `cbor:"4,keyasint,omitempty"`
	Demand     job.Demand `cbor:"5,keyasint"`
	EstimateMs float64    `cbor:"6,keyasint"` // estimated run time at speed 1
	SlackMs    int64      `cbor:"7,keyasint"` // as in Order
	// MaxWaitMs is how long the reservation may be queued before the agent drops it.
	MaxWaitMs  int64  `cbor:"8,keyasint"`
	Queue      string `cbor:"-"`                    // encoded in LeasedToAgent.Queues
	QueueIndex int    `cbor:"9,keyasint,omitempty"` // as in Order; set and used by the codec only
	Priority   int    `cbor:"10,keyasint,omitempty"`
	Width      int    `cbor:"11,keyasint,omitempty"` // tasks of the job
	// Description is as in Order. Described.
	Description uint64 `cbor:"12,keyasint,omitempty"`
}

// Offer offers capacity for a reservation. The capacity is held until an order names the
// reservation, the entry releases it, or HeldMs have passed.
type Offer struct {
	Seq    uint64  `cbor:"1,keyasint"` // of the reservation
	HeldMs int64   `cbor:"2,keyasint"`
	WaitMs float64 `cbor:"3,keyasint,omitempty"` // since the reservation arrived
}

// maxSeqBytes is the largest encoded size of a sequence number.
const maxSeqBytes = 9

// collectReservationQueues adds the queues of the reservations to Queues, for encoding.
func (l *LeasedToAgent) collectReservationQueues() {
	for i := range l.Reservations {
		r := &l.Reservations[i]
		r.QueueIndex = 0
		if r.Queue != "" {
			r.QueueIndex = internString(&l.Queues, r.Queue) + 1
		}
	}
}

// distributeReservationQueues sets each reservation's Queue after decoding.
func (l *LeasedToAgent) distributeReservationQueues() error {
	for i := range l.Reservations {
		r := &l.Reservations[i]
		if r.QueueIndex < 0 || r.QueueIndex > len(l.Queues) {
			return &queueIndexError{r.Seq, r.QueueIndex, len(l.Queues)}
		}
		if r.QueueIndex > 0 {
			r.Queue = l.Queues[r.QueueIndex-1]
		}
	}
	return nil
}

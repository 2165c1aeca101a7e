package job

import "time"

// AnswerGrace is how long past an id's deadline its owner still gives a complete
// answer. A caller whose only entry was frozen or cut off around the deadline gets
// its results within it. Other entries call an outcome unknown only after it, and
// callers are promised a final answer within seconds of the deadline, so it can't be
// longer than that leaves.
const AnswerGrace = 2 * time.Second

// AnswerableUntil returns the time from which the id's complete answer is no longer
// given, by the clock of whoever holds it.
func (id ID) AnswerableUntil() time.Time { return id.Deadline.Add(AnswerGrace) }

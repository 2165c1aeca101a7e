package job

import "time"

// AnswerGrace is how long past an id's deadline its owner still gives a complete
// answer, for callers whose only entry was frozen or cut off around the deadline. Other
// entries call an outcome unknown only after it.
const AnswerGrace = 2 * time.Second

// AnswerableUntil returns the time from which the id's complete answer is no longer
// given, by the clock of whoever holds it.
func (id ID) AnswerableUntil() time.Time { return id.Deadline.Add(AnswerGrace) }

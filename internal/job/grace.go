package job

import "time"

// AnswerGrace is how long after an id's deadline its owner still returns a complete
// answer, for callers whose only entry was frozen or unreachable around the deadline. Other
// entries report an outcome as unknown only after that time.
const AnswerGrace = 2 * time.Second

// AnswerableUntil returns the time from which the id's complete answer is no longer
// returned, by the clock of the process that holds it.
func (id ID) AnswerableUntil() time.Time { return id.Deadline.Add(AnswerGrace) }

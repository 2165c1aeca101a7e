// Package event numbers the log lines of every daemon. Operators and their
// alerts match on the number; the text may be reworded, the number never moves.
// docs/events.md lists them and a test keeps that page and this table the same.
package event

import "github.com/go-logr/logr"

// ID numbers an event.
type ID int

// Events by hundreds: 1xx process, 2xx submissions, 3xx placement, 4xx sessions
// and membership, 5xx configuration, 6xx targets.
const (
	ProcessStarted  ID = 101
	ProcessStopping ID = 102
	ProcessStopped  ID = 103
	InvariantBroken ID = 104
	DrainStarted    ID = 105
	LinesDropped    ID = 106
	ProcessStalled  ID = 107
	SettingsRead    ID = 108
	AcceptFailed    ID = 109
	MetricsStale    ID = 110
	ControlSlow     ID = 111
	EntryStarting   ID = 112
	ProcessStarved  ID = 113

	JobAccepted     ID = 201
	JobRefused      ID = 202
	JobComplete     ID = 203
	JobFailed       ID = 204
	JobAttached     ID = 205
	JobForwarded    ID = 206
	JobUndecided    ID = 207
	JobShed         ID = 208
	JobAbandoned    ID = 209
	AnswerWithdrawn ID = 210

	TaskPlaced   ID = 301
	TaskReported ID = 302
	TaskReplaced ID = 303
	TaskHeld     ID = 304
	TaskOverdue  ID = 305

	SessionOpened   ID = 401
	SessionSilent   ID = 402
	SessionClosed   ID = 403
	SessionReplaced ID = 404
	AgentGone       ID = 405
	PeerLearned     ID = 406
	BadFrame        ID = 407
	AgentRated      ID = 408
	SessionRetired  ID = 409
	EntryChosen     ID = 410
	EntryLost       ID = 411
	ReportsPaced    ID = 412

	ConfigApplied  ID = 501
	ConfigStale    ID = 502
	ConfigConflict ID = 503
	LogUnreachable ID = 504
	ConfigSnapshot ID = 505
	LogBack        ID = 506
	LogTruncated   ID = 507
	RecordWritten  ID = 508
	ConfigBad      ID = 509

	EvacuationBegun  ID = 510
	EvacuationLifted ID = 511
	EvacuationBad    ID = 512

	TargetAnnounced ID = 601
	TargetSilent    ID = 602
	TargetLeaving   ID = 603
	TargetFailed    ID = 604
	CreditsChanged  ID = 605
	TaskBegun       ID = 606
	AttemptRefused  ID = 607

	RunsStopped       ID = 608
	AnnouncementStale ID = 609
	StartUnanswered   ID = 610
	StartTurnedAway   ID = 611
	TargetBack        ID = 612
	ForeignRun        ID = 613
	TargetStands      ID = 614
	OrdersReturned    ID = 615
	TargetCrashed     ID = 616
	TaskCrashLoop     ID = 617
	TargetResized     ID = 618
)

// Entry describes an event for the catalogue.
type Entry struct {
	ID   ID
	Name string
	Text string
}

// Catalogue lists every event in order of its number.
var Catalogue = []Entry{
	{ProcessStarted, "process_started", "the daemon is up and serves"},
	{ProcessStopping, "process_stopping", "a graceful shutdown has begun"},
	{ProcessStopped, "process_stopped", "the daemon has finished what it had and ends"},
	{InvariantBroken, "invariant_broken", "an invariant does not hold; the history follows"},
	{DrainStarted, "drain_started", "an operator or a signal asked this daemon to take no new work"},
	{LinesDropped, "log_lines_dropped", "whatever reads the log stalled, and lines were dropped rather than the daemon stopped"},
	{ProcessStalled, "process_stalled", "the process stood still; its peers may have given up its sessions"},
	{SettingsRead, "settings_read", "the settings file was read again"},
	{AcceptFailed, "accept_failed", "a new connection could not be taken, such as for want of file descriptors; tried again"},
	{MetricsStale, "metrics_stale", "the metrics were read while the control goroutine was busy; its figures are those of before"},
	{ControlSlow, "control_slow", "one turn of the control goroutine took long; requests and heartbeats waited behind it"},
	{EntryStarting, "entry_starting", "an entry listens and looks for the newest configuration; it takes no work until process_started"},
	{ProcessStarved, "process_starved", "the process was short of processor time: short standstills of about two seconds add up to this"},
	{JobAccepted, "job_accepted", "a submission was let in"},
	{JobRefused, "job_refused", "a submission was turned away and did not run"},
	{JobComplete, "job_complete", "every task succeeded and the answer is whole"},
	{JobFailed, "job_failed", "the job ended as failed"},
	{JobAttached, "job_attached", "a submission came again and waits for the first one's answer"},
	{JobForwarded, "job_forwarded", "the submission belongs to another entry and was sent there"},
	{JobUndecided, "job_undecided", "the owner can't be reached and is not proved dead"},
	{JobShed, "job_shed", "a job that was let in can't be done before its deadline any more"},
	{JobAbandoned, "job_abandoned", "the caller of a job has left; what runs of it is stopped"},
	{AnswerWithdrawn, "answer_withdrawn", "a complete answer that no caller was given in time became an unknown outcome, as other entries say by then"},
	{TaskPlaced, "task_placed", "a task was sent to a target"},
	{TaskReported, "task_reported", "a target's outcome for a task arrived"},
	{TaskReplaced, "task_replaced", "a task that certainly did not run goes to another target"},
	{TaskHeld, "task_held", "a task waits although a slot is free, because starting there would end later"},
	{TaskOverdue, "task_overdue", "a task takes far longer than predicted; it is stopped and goes elsewhere, or its job is given up"},
	{SessionOpened, "session_opened", "an agent and an entry are connected"},
	{SessionSilent, "session_silent", "nothing was heard on a connection for too long; a new one is tried"},
	{SessionClosed, "session_closed", "a connection ended"},
	{SessionReplaced, "session_replaced", "a new connection took over from an older one"},
	{AgentGone, "agent_gone", "an agent's incarnation ended; its unsettled attempts have unknown outcomes"},
	{PeerLearned, "peer_learned", "another entry's address was learned"},
	{BadFrame, "bad_frame", "a frame could not be decoded or broke the protocol; the connection is closed"},
	{AgentRated, "agent_rated", "an agent's rating changed: failing, straggling or well again"},
	{SessionRetired, "session_retired", "an agent gave up the session of a substitute, since the entries it prefers are connected"},
	{EntryChosen, "entry_chosen", "an entry is one of those that this agent keeps sessions with"},
	{EntryLost, "entry_lost", "an entry has been out of reach for seconds; the agent keeps a session with another one instead"},
	{ReportsPaced, "reports_paced", "an entry asked its agents to report their load at another pace, by its host's processor and their number"},
	{ConfigApplied, "config_applied", "a configuration version is in force on this process"},
	{ConfigStale, "config_stale", "this process has not heard of the configuration for too long"},
	{ConfigConflict, "config_conflict", "a change lost against another operator's"},
	{LogUnreachable, "log_unreachable", "the platform's log does not answer"},
	{ConfigSnapshot, "config_snapshot", "a snapshot was appended before retention drops what is needed"},
	{LogBack, "log_back", "the platform's log answers again"},
	{LogTruncated, "log_truncated", "the platform's log has dropped what was to be read next; the newest values are read again"},
	{RecordWritten, "record_written", "this process has written its record to the platform's log"},
	{ConfigBad, "config_bad", "a configuration can't be read; the one before stays in force"},
	{EvacuationBegun, "evacuation_begun", "a data centre is evacuated: no task starts there until that is lifted"},
	{EvacuationLifted, "evacuation_lifted", "tasks may start in a data centre again"},
	{EvacuationBad, "evacuation_bad", "a record of an evacuation names no data centre and was ignored"},
	{TargetAnnounced, "target_announced", "a target announced itself"},
	{TargetSilent, "target_silent", "a target stopped announcing itself"},
	{TargetLeaving, "target_leaving", "a target said that it leaves"},
	{TargetFailed, "target_failed", "a call to a target failed"},
	{CreditsChanged, "credits_changed", "an agent granted free slots to an owner or recalled credits from it"},
	{TaskBegun, "task_begun", "an agent called its target for a task"},
	{AttemptRefused, "attempt_refused", "an agent refused a start; the task did not run there"},
	{RunsStopped, "runs_stopped", "runs were stopped, or ended with their target, and no owner waits for them"},
	{AnnouncementStale, "announcement_stale", "a delayed announcement of an earlier life of the target was ignored"},
	{StartUnanswered, "start_unanswered", "a target did not answer a start; it is called again, and then fenced off by a stop"},
	{StartTurnedAway, "start_turned_away", "a target answered that it does not start a task"},
	{TargetBack, "target_back", "a target answers again"},
	{ForeignRun, "foreign_run", "a target runs what an earlier agent started; it is stopped"},
	{TargetStands, "target_stands", "tasks of several jobs stand still on a target; it gets no work for a while"},
	{OrdersReturned, "orders_returned", "orders that waited for a target went back to their entries unstarted"},
	{TargetCrashed, "target_crashed", "a target's life ended unannounced with tasks at work, or it stopped answering, or went on after that"},
	{TaskCrashLoop, "task_crash_loop", "targets crashed under a task; it is not started again, and its job is answered as failed"},
	{TargetResized, "target_resized", "a target's capacity has changed while it runs"},
}

var names = func() map[ID]string {
	byID := make(map[ID]string, len(Catalogue))
	for _, e := range Catalogue {
		byID[e.ID] = e.Name
	}
	return byID
}()

// String returns the event's name.
func (id ID) String() string { return names[id] }

// Log writes the event with its number and name, then the key and value pairs.
func Log(log logr.Logger, id ID, keysAndValues ...any) {
	if !log.Enabled() {
		return
	}
	log.Info(names[id], append([]any{"event", int(id)}, keysAndValues...)...)
}

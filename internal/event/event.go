// Package event defines the numbered events that daemons log. Operators and their alerts
// match on the number, which never changes; the text may. docs/events.md lists all events,
// and a test keeps that page equal to Catalogue.
package event

import "github.com/go-logr/logr"

// ID is the number of an event.
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
	ClientsGivenUp  ID = 114

	JobAccepted      ID = 201
	JobRefused       ID = 202
	JobComplete      ID = 203
	JobFailed        ID = 204
	JobAttached      ID = 205
	JobForwarded     ID = 206
	JobUndecided     ID = 207
	JobShed          ID = 208
	JobAbandoned     ID = 209
	AnswerWithdrawn  ID = 210
	JobHandedOver    ID = 211
	QueuePressure    ID = 212
	HandoverFailed   ID = 213
	JobAwaitsTargets ID = 214
	JobCancelled     ID = 215

	TaskPlaced      ID = 301
	TaskReported    ID = 302
	TaskReplaced    ID = 303
	TaskHeld        ID = 304
	TaskOverdue     ID = 305
	RunKept         ID = 306
	EstimateRevised ID = 307
	TaskReserved    ID = 308
	OfferLapsed     ID = 309

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
	EntrySession    ID = 413
	EntryFull       ID = 414
	PeerDropped     ID = 415

	ConfigApplied  ID = 501
	ConfigStale    ID = 502
	ConfigConflict ID = 503
	LogUnreachable ID = 504
	ConfigSnapshot ID = 505
	LogBack        ID = 506
	LogTruncated   ID = 507
	RecordWritten  ID = 508
	ConfigBad      ID = 509
	ListSplit      ID = 513
	RecordRemoved  ID = 514

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
	LeaseWithheld     ID = 619
	LeaseUnsafe       ID = 620
	RunConcluded      ID = 621
	RunOutlived       ID = 622
	RunCarriedOver    ID = 623
	TargetMisdirected ID = 624
	TargetUnconfirmed ID = 625
	TargetSuperseded  ID = 626
	TargetRestarted   ID = 627
)

// Entry is the description of an event in Catalogue.
type Entry struct {
	ID   ID
	Name string
	Text string
}

// Catalogue lists all events in ascending order of their numbers.
var Catalogue = []Entry{
	{ProcessStarted, "process_started", "the daemon has started and accepts requests"},
	{ProcessStopping, "process_stopping", "a graceful shutdown has begun"},
	{ProcessStopped, "process_stopped", "the daemon has completed its work and exits"},
	{InvariantBroken, "invariant_broken", "an invariant is violated; the line contains its history"},
	{DrainStarted, "drain_started", "an operator or a signal asked this daemon to take no new work"},
	{LinesDropped, "log_lines_dropped", "the reader of the log output stalled; lines were dropped so that the daemon was not blocked"},
	{ProcessStalled, "process_stalled", "the process was suspended or frozen; its peers may have closed its sessions"},
	{SettingsRead, "settings_read", "the settings file was read again"},
	{AcceptFailed, "accept_failed", "accepting a connection failed, for example for lack of file descriptors; it is retried"},
	{MetricsStale, "metrics_stale", "the metrics were read while the control goroutine was busy; its values are those of an earlier reading"},
	{ControlSlow, "control_slow", "one turn of the control goroutine took long; requests and heartbeats waited behind it"},
	{EntryStarting, "entry_starting", "an entry listens and fetches the newest configuration; it accepts no work until process_started"},
	{ProcessStarved, "process_starved", "the process was short of processor time: the sum of short pauses within about two seconds reached a limit"},
	{ClientsGivenUp, "clients_given_up", "connections or requests of clients that stand still were given up; the line has their number since the last line by reason, at most one line a second"},
	{JobAccepted, "job_accepted", "a submission was accepted"},
	{JobRefused, "job_refused", "a submission was refused and did not run"},
	{JobComplete, "job_complete", "every task succeeded and the answer is complete"},
	{JobFailed, "job_failed", "the job ended as failed"},
	{JobAttached, "job_attached", "a known submission was repeated and waits for the answer to the first one"},
	{JobForwarded, "job_forwarded", "the submission is owned by another entry and was forwarded to it"},
	{JobUndecided, "job_undecided", "the owner is unreachable and not known to have ended"},
	{JobShed, "job_shed", "an accepted job can no longer complete before its deadline"},
	{JobAbandoned, "job_abandoned", "the caller of a job has disconnected; its running tasks are stopped"},
	{AnswerWithdrawn, "answer_withdrawn", "a complete answer that was not delivered to a caller in time became an unknown outcome, which other entries report by then"},
	{JobHandedOver, "job_handed_over", "a submission was handed over to another entry, which answers it through this one; the reason is in the line"},
	{QueuePressure, "queue_pressure", "a queue's share of late tasks, or its place under or over its share of the capacity, has changed clearly; or an agent's report of queue loads was rejected"},
	{HandoverFailed, "handover_failed", "a hand-over to another entry did not lead to an answer: it was refused there, or the session with it ended"},
	{JobAwaitsTargets, "job_awaits_targets", "no session is open yet, shortly after the start or a loss of all sessions; the job waits for targets"},
	{JobCancelled, "job_cancelled", "a caller has cancelled a job, here or at another entry; copies of its request do not run from now on"},
	{TaskPlaced, "task_placed", "a task was sent to a target"},
	{TaskReported, "task_reported", "the outcome of a task was received from its target"},
	{TaskReplaced, "task_replaced", "a task that certainly did not run is placed on another target"},
	{TaskHeld, "task_held", "a task stays queued although a slot is free, because a start there would complete later"},
	{TaskOverdue, "task_overdue", "a task runs far longer than predicted; it is stopped and placed elsewhere, or its job is abandoned"},
	{RunKept, "run_kept", "a run past the usual limit is kept, because it is more likely long than hung"},
	{EstimateRevised, "estimate_revised", "the runs of a job show that it is longer than estimated; its estimate and objective are raised"},
	{TaskReserved, "task_reserved", "no target can start a task at once; it is reserved at some targets and ordered at the first that offers capacity"},
	{OfferLapsed, "offer_lapsed", "an entry did not answer an offer of capacity in time; the capacity is free again"},
	{SessionOpened, "session_opened", "a connection between an agent and an entry was established"},
	{SessionSilent, "session_silent", "a connection was silent in one or both directions for longer than its timeout; the agent reconnects"},
	{SessionClosed, "session_closed", "a connection ended"},
	{SessionReplaced, "session_replaced", "a new connection replaced an older one"},
	{AgentGone, "agent_gone", "an agent's incarnation ended; its unsettled attempts have unknown outcomes"},
	{PeerLearned, "peer_learned", "another entry's address was learned"},
	{BadFrame, "bad_frame", "a frame could not be decoded or broke the protocol; the connection is closed"},
	{AgentRated, "agent_rated", "an agent was rated as failing, straggling or healthy again, or its availability changed"},
	{SessionRetired, "session_retired", "an agent closed its session with a substitute entry, because the entries that it prefers are connected"},
	{EntryChosen, "entry_chosen", "an agent selected an entry to keep a session with"},
	{EntryLost, "entry_lost", "an entry has been unreachable for seconds; the agent keeps a session with another one instead"},
	{ReportsPaced, "reports_paced", "an entry requested another load report interval from its agents, based on its host's processor and their number"},
	{EntrySession, "entry_session", "a session between two entries for the hand-over of submissions was opened or closed"},
	{EntryFull, "entry_full", "an entry has as many sessions as its host can serve; it names others to the agent, which selects one of them"},
	{PeerDropped, "peer_dropped", "an entry's address was dropped: its host has another one, or too many are known that no record names"},
	{ConfigApplied, "config_applied", "a configuration version is in force on this process"},
	{ConfigStale, "config_stale", "this process has received no confirmation of its configuration for too long"},
	{ConfigConflict, "config_conflict", "a change was rejected in favour of another operator's"},
	{LogUnreachable, "log_unreachable", "the platform's log does not respond"},
	{ConfigSnapshot, "config_snapshot", "a snapshot was appended before retention deletes records that are still needed"},
	{LogBack, "log_back", "the platform's log responds again"},
	{LogTruncated, "log_truncated", "the platform's log has deleted the records to be read next; the newest values are read instead"},
	{RecordWritten, "record_written", "this process has written its record to the platform's log"},
	{ConfigBad, "config_bad", "a configuration is invalid; the previous one stays in force"},
	{EvacuationBegun, "evacuation_begun", "a data centre is evacuated: no task starts there until the evacuation is lifted"},
	{EvacuationLifted, "evacuation_lifted", "tasks may start in a data centre again"},
	{EvacuationBad, "evacuation_bad", "a record of an evacuation names no data centre and was ignored"},
	{ListSplit, "list_split", "an entry has split the list of its data centre in the platform's log, because a shard has too many records"},
	{RecordRemoved, "record_removed", "an agent has deleted the record of an entry that it has not reached for many minutes"},
	{TargetAnnounced, "target_announced", "a target announced itself"},
	{TargetSilent, "target_silent", "a target stopped announcing itself"},
	{TargetLeaving, "target_leaving", "a target announced its departure"},
	{TargetFailed, "target_failed", "a call to a target failed"},
	{CreditsChanged, "credits_changed", "an agent granted free slots to an owner or recalled credits from it"},
	{TaskBegun, "task_begun", "an agent called its target for a task"},
	{AttemptRefused, "attempt_refused", "an agent refused a start; the task did not run there"},
	{RunsStopped, "runs_stopped", "runs were stopped, or ended with their target, and no owner awaits their outcome"},
	{AnnouncementStale, "announcement_stale", "a delayed announcement of an earlier incarnation of the target was ignored"},
	{StartUnanswered, "start_unanswered", "a target did not answer a start; the call is retried, and then a stop fences the start off"},
	{StartTurnedAway, "start_turned_away", "a target rejected the start of a task"},
	{TargetBack, "target_back", "a target responds again"},
	{ForeignRun, "foreign_run", "a target executes a run that an earlier agent started; the run is stopped"},
	{TargetStands, "target_stands", "tasks of several jobs make no progress on a target; it receives no work for a while"},
	{OrdersReturned, "orders_returned", "orders queued for a target were returned to their entries without being started"},
	{TargetCrashed, "target_crashed", "a target's incarnation ended without announcement while tasks were active, or the target stopped responding, or it responded again after that"},
	{TaskCrashLoop, "task_crash_loop", "targets crashed while running a task; it is not started again, and its job fails"},
	{TargetResized, "target_resized", "a target's capacity changed while it was running"},
	{LeaseWithheld, "lease_withheld", "the lease of a target is not extended, because a run that no owner is known to want has not been stopped; all its runs end with the lease"},
	{LeaseUnsafe, "lease_unsafe", "callers send jobs again so soon that the runs of a lost owner may not have ended by then"},
	{RunConcluded, "run_concluded", "a run was settled although its target has not listed its end; the line has the reason and the state of the run"},
	{RunOutlived, "run_outlived", "a run may have gone on until its caller may have sent the job again"},
	{RunCarriedOver, "run_carried_over", "an incarnation of a target has ended, and the next one may carry out a start that was called for it; the run is over once that one has confirmed its stop"},
	{TargetMisdirected, "target_misdirected", "another target answers at the address of the known one; the line has the call, and the runs that the known one had"},
	{TargetUnconfirmed, "target_unconfirmed", "an announced target is not adopted: another one or none answers at the address, or the known one is preferred"},
	{TargetSuperseded, "target_superseded", "another target of the host has answered and gets the new runs; those of this one go on and end by its word or with its lease"},
	{TargetRestarted, "target_restarted", "an answer of a target shows that it has restarted under its name, before the new incarnation has announced itself"},
}

var names = func() map[ID]string {
	byID := make(map[ID]string, len(Catalogue))
	for _, e := range Catalogue {
		byID[e.ID] = e.Name
	}
	return byID
}()

// String returns the event's name, which is the message of its log lines.
func (id ID) String() string { return names[id] }

// Log writes the event with its name, its number under the key "event", and the key and value
// pairs, which alternate. It does nothing if the logger is disabled.
func Log(log logr.Logger, id ID, keysAndValues ...any) {
	if !log.Enabled() {
		return
	}
	log.Info(names[id], append([]any{"event", int(id)}, keysAndValues...)...)
}

package localfleet

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/settings"
)

// Limits for processes. The timeouts don't count time in which the process is paused.
const (
	startTimeout    = 10 * time.Second
	stopTimeout     = 5 * time.Second // for a graceful shutdown without work in progress; then the process is killed
	logTailLines    = 20              // last log lines that are kept to report failures
	maxLogLineBytes = 1 << 20
)

// StartError reports that a process exited or timed out before it was ready to serve.
type StartError struct {
	Name    string
	Cause   error
	LogTail []string // the last lines of its log
}

// Error implements error.
func (e *StartError) Error() string {
	text := e.Name + " did not start: " + e.Cause.Error()
	if len(e.LogTail) > 0 {
		text += "; last log line: " + e.LogTail[len(e.LogTail)-1]
	}
	return text
}

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Cause }

var (
	errExited   = errors.New("exited before it was ready")
	errNotReady = errors.New("not ready before the start timeout")
)

// Process is a daemon that was started. It may have exited.
type Process struct {
	Name string // instance name, such as "entry-1"
	Addr string // bound address, read from its log

	program string
	cmd     *exec.Cmd
	ready   chan string   // receives the bound address
	exited  chan struct{} // closed after the process exited and its log was read
	log     io.Closer
	pauses  pauseTracker

	mu            sync.Mutex
	logTail       []string
	stopRequested bool  // by Stop, StopWithin or Kill
	killed        bool  // by Kill
	waitErr       error // result of cmd.Wait
}

// logLine has the fields of a log line that are read here.
type logLine struct {
	Event event.ID `json:"event"`
	Addr  string   `json:"addr"`
}

// start starts a program and waits until it is ready to serve. If it does not become ready, start
// returns both the process and a StartError.
func (f *Fleet) start(ctx context.Context, name, program string, args ...string) (*Process, error) {
	cmd := exec.Command(filepath.Join(f.options.BinDir, program), args...)
	// The key is passed in the environment, because arguments are visible in process lists.
	cmd.Env = append(os.Environ(), settings.EnvName("key")+"="+f.options.Key)
	// The daemon gets its own process group, so that Ctrl-C in the terminal reaches only this
	// program, which then stops the daemons in order.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	output, err := cmd.StderrPipe()
	if err != nil {
		return nil, &StartError{Name: name, Cause: err}
	}
	cmd.Stdout = cmd.Stderr // daemons write their log to one of them and start-up errors to the other
	sink, err := f.openLog(name)
	if err != nil {
		return nil, &StartError{Name: name, Cause: err}
	}
	if err := cmd.Start(); err != nil {
		return nil, &StartError{Name: name, Cause: err}
	}
	p := &Process{Name: name, program: program, cmd: cmd, ready: make(chan string, 1), exited: make(chan struct{}), log: sink}
	f.add(p)
	go p.readLog(output, sink)
	return p, p.awaitReady(ctx)
}

// openLog opens the file for the log of a process, or returns a writer that discards it.
func (f *Fleet) openLog(name string) (io.WriteCloser, error) {
	if f.options.LogDir == "" {
		return discardLog{}, nil
	}
	path := filepath.Join(f.options.LogDir, name+".log")
	return os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
}

type discardLog struct{}

func (discardLog) Write(b []byte) (int, error) { return len(b), nil }
func (discardLog) Close() error                { return nil }

// readLog copies the log to the sink and keeps its last lines until the process exits. It reports
// the bound address as soon as the log contains it.
func (p *Process) readLog(output io.Reader, sink io.WriteCloser) {
	lines := bufio.NewScanner(output)
	lines.Buffer(make([]byte, 0, 4096), maxLogLineBytes)
	for lines.Scan() {
		p.appendLogTail(lines.Text())
		fmt.Fprintln(sink, lines.Text()) // a failure to write the log must not stop the run
		var line logLine
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Event == event.ProcessStarted {
			p.reportReady(line.Addr)
		}
	}
	// The scanner stops at a line that exceeds its buffer. The rest is discarded, so that the
	// process doesn't block on a full pipe.
	_, _ = io.Copy(io.Discard, output)
	err := p.cmd.Wait()
	p.mu.Lock()
	p.waitErr = err
	p.mu.Unlock()
	_ = sink.Close()
	close(p.exited)
}

// reportReady passes the bound address to awaitReady. Only the first call has an effect.
func (p *Process) reportReady(addr string) {
	select {
	case p.ready <- addr:
	default:
	}
}

// appendLogTail adds a line to the last lines of the log.
func (p *Process) appendLogTail(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.logTail = append(p.logTail, line)
	if len(p.logTail) > logTailLines {
		p.logTail = p.logTail[1:]
	}
}

// LogTail returns the last lines of the log, oldest first.
func (p *Process) LogTail() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.logTail...)
}

// awaitReady waits until the process is ready to serve, exits or exceeds startTimeout.
func (p *Process) awaitReady(ctx context.Context) error {
	timedOut := make(chan struct{})
	stop := p.pauses.afterFunc(startTimeout, func() { close(timedOut) })
	defer stop()
	var cause error
	select {
	case p.Addr = <-p.ready:
		return nil
	case <-p.exited:
		cause = errExited
	case <-timedOut:
		cause = errNotReady
	case <-ctx.Done():
		cause = ctx.Err()
	}
	return &StartError{Name: p.Name, Cause: cause, LogTail: p.LogTail()}
}

// PID returns the process id, also after the process exited.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Kill kills the process, which simulates the loss of a host, and waits until it has exited.
func (p *Process) Kill() {
	p.recordStopRequest(true)
	_ = p.cmd.Process.Kill() // fails only if it has exited
	<-p.exited
}

// Signal sends a signal to the process. Time in which SIGSTOP suspends it counts against timeouts;
// Pause avoids that.
func (p *Process) Signal(s os.Signal) error {
	return errors.Wrapf(p.cmd.Process.Signal(s), "signal %s", p.Name)
}

// Stop calls StopWithin with the limit for a process without work, stopTimeout.
func (p *Process) Stop() bool { return p.StopWithin(stopTimeout) }

// StopWithin sends SIGTERM, waits until the process has exited and reports whether it exited
// without an error. A process that takes longer than the limit, not counting pauses, is killed.
// A process that Kill ended earlier counts as graceful.
func (p *Process) StopWithin(limit time.Duration) bool {
	p.recordStopRequest(false)
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // fails only if it has exited
	timedOut := make(chan struct{})
	stop := p.pauses.afterFunc(limit, func() { close(timedOut) })
	defer stop()
	select {
	case <-p.exited:
		return p.exitedCleanly()
	case <-timedOut:
		_ = p.cmd.Process.Kill()
		<-p.exited
		return false
	}
}

// exitedCleanly reports whether the process exited without an error or was ended by Kill.
func (p *Process) exitedCleanly() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed || p.waitErr == nil
}

// recordStopRequest records that the process is expected to exit, so that it doesn't count as
// crashed.
func (p *Process) recordStopRequest(kill bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopRequested = true
	p.killed = p.killed || kill
}

// Exited reports whether the process has exited. Until then, no other process can respond at its
// address.
func (p *Process) Exited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// Crashed reports whether the process exited without a stop request.
func (p *Process) Crashed() bool {
	if !p.Exited() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.stopRequested
}

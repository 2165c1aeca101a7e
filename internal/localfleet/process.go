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

// Times of starting and stopping a process, without those in which it is paused.
const (
	startTimeout = 10 * time.Second
	stopTimeout  = 5 * time.Second // for a graceful end, before it is killed
	tailLines    = 20              // last log lines kept for the message about a crash
	maxLogLine   = 1 << 20
)

// StartError is a process that did not come up.
type StartError struct {
	Name    string
	Cause   error
	LogTail []string // its last log lines
}

// Error implements error.
func (e *StartError) Error() string {
	text := e.Name + " did not start: " + e.Cause.Error()
	if len(e.LogTail) > 0 {
		text += "; its last log line: " + e.LogTail[len(e.LogTail)-1]
	}
	return text
}

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Cause }

var (
	errEnded   = errors.New("it ended before it served")
	errTimeout = errors.New("it did not serve in time")
)

// Process is one running daemon.
type Process struct {
	Name string // of the instance, such as "entry-1"
	Addr string // where it serves, from its log

	program string
	cmd     *exec.Cmd
	serving chan string
	ended   chan struct{}
	log     io.Closer
	pauses  pauses

	mu      sync.Mutex
	tail    []string
	wanted  bool  // its end was asked for
	killed  bool  // by Kill
	waitErr error // how it ended
}

// logLine is what is read from a daemon's log.
type logLine struct {
	Event event.ID `json:"event"`
	Addr  string   `json:"addr"`
}

// start starts a program of the bin directory and waits until it serves.
func (f *Fleet) start(ctx context.Context, name, program string, args ...string) (*Process, error) {
	cmd := exec.Command(filepath.Join(f.options.BinDir, program), args...)
	// By the environment, because arguments show in process lists.
	cmd.Env = append(os.Environ(), settings.EnvName("key")+"="+f.options.Key)
	// A group of its own, so that a ^C at the terminal reaches this program
	// alone and the daemons end in the order that it chooses.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	output, err := cmd.StderrPipe()
	if err != nil {
		return nil, &StartError{Name: name, Cause: err}
	}
	cmd.Stdout = cmd.Stderr // logs go to one, failures to start to the other
	sink, err := f.logSink(name)
	if err != nil {
		return nil, &StartError{Name: name, Cause: err}
	}
	if err := cmd.Start(); err != nil {
		return nil, &StartError{Name: name, Cause: err}
	}
	p := &Process{Name: name, program: program, cmd: cmd, serving: make(chan string, 1), ended: make(chan struct{}), log: sink}
	f.add(p)
	go p.follow(output, sink)
	return p, p.awaitServing(ctx)
}

// logSink returns where the log of a process goes.
func (f *Fleet) logSink(name string) (io.WriteCloser, error) {
	if f.options.LogDir == "" {
		return discard{}, nil
	}
	path := filepath.Join(f.options.LogDir, name+".log")
	return os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
}

type discard struct{}

func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) Close() error                { return nil }

// follow reads the log until the process ends.
func (p *Process) follow(output io.Reader, sink io.WriteCloser) {
	lines := bufio.NewScanner(output)
	lines.Buffer(make([]byte, 0, 4096), maxLogLine)
	for lines.Scan() {
		p.keep(lines.Text())
		fmt.Fprintln(sink, lines.Text()) // a line that can't be written must not stop the run
		var line logLine
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Event == event.ProcessStarted {
			p.announce(line.Addr)
		}
	}
	// A line beyond the buffer ends the scanner; the rest is drained so that the
	// process doesn't block on a full pipe.
	_, _ = io.Copy(io.Discard, output)
	err := p.cmd.Wait()
	p.mu.Lock()
	p.waitErr = err
	p.mu.Unlock()
	_ = sink.Close()
	close(p.ended)
}

func (p *Process) announce(addr string) {
	select {
	case p.serving <- addr:
	default:
	}
}

func (p *Process) keep(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tail = append(p.tail, line)
	if len(p.tail) > tailLines {
		p.tail = p.tail[1:]
	}
}

// LogTail returns the last lines of the log.
func (p *Process) LogTail() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.tail...)
}

func (p *Process) awaitServing(ctx context.Context) error {
	late := make(chan struct{})
	stop := p.pauses.afterRunning(startTimeout, func() { close(late) })
	defer stop()
	var cause error
	select {
	case p.Addr = <-p.serving:
		return nil
	case <-p.ended:
		cause = errEnded
	case <-late:
		cause = errTimeout
	case <-ctx.Done():
		cause = ctx.Err()
	}
	return &StartError{Name: p.Name, Cause: cause, LogTail: p.LogTail()}
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Kill ends the process at once, as the loss of a host would, and waits until it
// is gone.
func (p *Process) Kill() {
	p.want(true)
	_ = p.cmd.Process.Kill() // fails only where it has ended
	<-p.ended
}

// Signal sends a signal, such as SIGSTOP for a pause.
func (p *Process) Signal(s os.Signal) error {
	return errors.Wrapf(p.cmd.Process.Signal(s), "signal %s", p.Name)
}

// Stop is StopWithin with the time that a process without work may take.
func (p *Process) Stop() bool { return p.StopWithin(stopTimeout) }

// StopWithin asks the process to end, waits for it and reports whether it did so
// gracefully; one that takes longer is killed. One that Kill ended before, on
// purpose, counts as graceful.
func (p *Process) StopWithin(limit time.Duration) bool {
	p.want(false)
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // fails only where it has ended
	late := make(chan struct{})
	stop := p.pauses.afterRunning(limit, func() { close(late) })
	defer stop()
	select {
	case <-p.ended:
		return p.endedWell()
	case <-late:
		_ = p.cmd.Process.Kill()
		<-p.ended
		return false
	}
}

func (p *Process) endedWell() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed || p.waitErr == nil
}

// want notes that the end of the process is asked for.
func (p *Process) want(kill bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wanted = true
	p.killed = p.killed || kill
}

// Exited reports whether the process has ended. While it has not, nobody else can
// answer at its address.
func (p *Process) Exited() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// Crashed reports whether the process ended although nobody asked it to.
func (p *Process) Crashed() bool {
	if !p.Exited() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.wanted
}

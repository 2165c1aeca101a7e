//go:build review

package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/camphorrack/camphorrack/internal/standin/relay"
	"github.com/camphorrack/camphorrack/platform/standin"
)

// Ports of each host. Each host has a loopback address of its own, so the ports are the same on all.
const (
	portCallers = 18161
	portReady   = 18167
	portControl = 18166
	portSession = 17720
	portStore   = 18169
	portTarget  = 18080
	portRelay   = 18090 // from a runner to its target
)

// Last octets of the hosts' addresses.
const (
	firstDispatcher = 10
	firstRunner     = 100
	firstPath       = 150 // relays from runners to dispatchers
)

const (
	service   = "servicio-columnas"
	hostName  = "nony24.example"
	queuePath = "/lohu930/"
)

// Bounds of a small deployment, as the platform's pages give them.
type bounds struct {
	holdMaxMs int64
	resendMs  int64
	graceS    int
}

var smallBounds = bounds{holdMaxMs: 1000, resendMs: 1300, graceS: 6}

// fleet is a small deployment of the project's own daemons on loopback, between stand-ins of the store
// and of the targets. Each path between two hosts leads through a relay.
type fleet struct {
	record *recorder
	bounds bounds
	bin    string // directory of the daemons
	dir    string // for settings and logs
	prefix string // first three octets of the hosts' addresses

	store       *standin.Store
	servers     []*http.Server
	targets     []*target
	dispatchers []*process
	runners     []*process
	targetPaths []*relay.Relay   // by runner
	entryPaths  [][]*relay.Relay // by runner and dispatcher
}

func (f *fleet) ip(host int) string { return fmt.Sprintf("%s%d", f.prefix, host) }

func (f *fleet) addr(host, port int) string { return fmt.Sprintf("%s:%d", f.ip(host), port) }

func (f *fleet) pathHost(runner, dispatcher int) int {
	return firstPath + runner*len(f.dispatchers) + dispatcher
}

// newFleet starts the stand-ins and the daemons.
func newFleet(r *recorder, b bounds, bin string, dispatchers, targets int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "camphorrack-review")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, bounds: b, bin: bin, dir: dir, store: standin.NewStore(standin.StoreOptions{AppendTime: 2 * time.Millisecond})}
	for try := 0; ; try++ {
		f.prefix = fmt.Sprintf("127.%d.%d.", 20+os.Getpid()%100+try, 1+os.Getpid()/100%250)
		l, err := net.Listen("tcp", f.addr(firstDispatcher, portCallers))
		if err == nil {
			_ = l.Close()
			break
		}
		if try == 50 {
			return nil, err
		}
	}
	f.dispatchers, f.runners = make([]*process, dispatchers), make([]*process, targets)
	f.store.Rewrite = f.throughRelays
	f.configure(1)
	for i := range targets {
		if err := f.addTarget(i); err != nil {
			return f, err
		}
	}
	for i := range dispatchers {
		if err := f.addDispatcher(i); err != nil {
			return f, err
		}
	}
	for i := range targets {
		if err := f.addRunner(i); err != nil {
			return f, err
		}
	}
	return f, nil
}

// configure writes a configuration with one queue.
func (f *fleet) configure(version int) {
	f.store.Put("keyed.op", "config", fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r-1","host":%q,"pathPrefix":%q,"kind":"non_idempotent",`+
		`"timeoutMs":1500,"targetLatencyMs":60,"priority":0,"service":%q,"maxAttempts":3,"stretch":1.6}],`+
		`"services":[{"name":%q,"healthPath":"/healthz","maxConns":64,"protocol":"h1","tls":false,"preconditions":true,"standby":false}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`,
		version, hostName, queuePath, service, service))
}

// throughRelays replaces the dispatchers' addresses that a runner reads from the store by those of the
// relays, which stand for the network between the two.
func (f *fleet) throughRelays(host, topic, _ string, value []byte) []byte {
	if !strings.Contains(topic, "entries") {
		return value
	}
	for r := range f.runners {
		if host != f.ip(firstRunner+r) {
			continue
		}
		for d := range f.dispatchers {
			value = bytes.ReplaceAll(value, []byte(f.addr(firstDispatcher+d, portSession)+`"`), []byte(f.addr(f.pathHost(r, d), portSession)+`"`))
		}
	}
	return value
}

func (f *fleet) serve(addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(l) }() // ends when close closes the server
	return nil
}

func (f *fleet) relay(from, to string) (*relay.Relay, error) {
	r, err := relay.Listen(from)
	if err != nil {
		return nil, err
	}
	r.SetTarget(to)
	return r, nil
}

func (f *fleet) zone(i int) string { return []string{"zona-bogota", "zona-medellin"}[i%2] }

func (f *fleet) addDispatcher(i int) error {
	n := firstDispatcher + i
	if err := f.serve(f.addr(n, portStore), f.store.Handler(f.ip(n))); err != nil {
		return err
	}
	listen := fmt.Sprintf("  frontendAddr: %q\n  readyAddr: %q\n  control: %q\n", f.addr(n, portCallers), f.addr(n, portReady), f.addr(n, portControl))
	f.dispatchers[i] = f.newProcess(fmt.Sprintf("dispatcher-%d", i), "camphorrack-dispatcher", n,
		f.settings(n, i, "frontend", listen, "", "{cpuShare: 0.4, cores: 1, memoryMb: 284, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}"))
	return f.dispatchers[i].start()
}

func (f *fleet) addTarget(i int) error {
	n := firstRunner + i
	t := newTarget(f.record, targetOptions{
		name: fmt.Sprintf("i-%08d", i+1), zone: f.zone(i), addr: f.addr(n, portTarget), control: f.addr(n, portControl),
		cpuMilli: 16000, memMB: 32768, holdMax: time.Duration(f.bounds.holdMaxMs) * time.Millisecond,
	})
	f.targets = append(f.targets, t)
	if err := t.start(); err != nil {
		return err
	}
	path, err := f.relay(f.addr(n, portRelay), f.addr(n, portTarget))
	f.targetPaths = append(f.targetPaths, path)
	return err
}

func (f *fleet) addRunner(i int) error {
	n := firstRunner + i
	if err := f.serve(f.addr(n, portStore), f.store.Handler(f.ip(n))); err != nil {
		return err
	}
	var paths []*relay.Relay
	for d := range f.dispatchers {
		path, err := f.relay(f.addr(f.pathHost(i, d), portSession), f.addr(firstDispatcher+d, portSession))
		if err != nil {
			return err
		}
		paths = append(paths, path)
	}
	f.entryPaths = append(f.entryPaths, paths)
	listen := fmt.Sprintf("  control: %q\n", f.addr(n, portControl))
	app := fmt.Sprintf("app: %q\nservice: %q\n", f.addr(n, portRelay), service)
	f.runners[i] = f.newProcess(fmt.Sprintf("runner-%d", i), "camphorrack-runner", n,
		f.settings(n, i, "side", listen, app, "{cpuShare: 0.24, cores: 1, memoryMb: 152, maxFds: 4096, linkMbps: 1000.0, diskMb: 0}"))
	return f.runners[i].start()
}

// settings returns the settings file of a process, as the platform's pages show it.
func (f *fleet) settings(n, i int, class, listen, app, limits string) string {
	return fmt.Sprintf("nodeName: %q\nrole: %q\nmachineClass: %q\nserves: [%q]\nip: %q\nzone: %q\nregion: \"colombia-centro\"\n"+
		"zones: {zona-bogota: colombia-centro, zona-medellin: colombia-centro}\nlistenAddrs:\n%sportRange: [%d, %d]\nseeds: []\nbootstrap: true\ninTolerance: false\n%s"+
		"limits: %s\ndataDir: null\ndiscovery: \"local\"\nentry: \"vip\"\nheartbeatMs: 1500\ncontrolMode: \"invocation\"\n"+
		"bounds: {contactMs: 3000, ackMs: 4000, drainMs: 2000, graceS: %d, configApplyMs: 2000, holdMaxMs: %d, stopMs: 50, remoteFactor: 1.5, resendMs: %d}\n"+
		"platform: {address: %q, form: \"log\", writesPerS: 800, readsPerS: 2000, parts: 12, keep_s: 300}\n",
		fmt.Sprintf("%s-%s-%d", class, f.zone(i), i+1), class, class, class, f.ip(n), f.zone(i), listen, portSession, portSession+15, app,
		limits, f.bounds.graceS, f.bounds.holdMaxMs, f.bounds.resendMs, f.addr(n, portStore))
}

// process is one of the project's daemons.
type process struct {
	name, program, settings, log string
	fleet                        *fleet
	cmd                          *exec.Cmd
	done                         chan struct{}
}

func (f *fleet) newProcess(name, program string, _ int, settings string) *process {
	p := &process{name: name, program: filepath.Join(f.bin, program), settings: filepath.Join(f.dir, name+".yaml"), log: filepath.Join(f.dir, name+".log"), fleet: f}
	if err := os.WriteFile(p.settings, []byte(settings), 0o600); err != nil {
		f.record.add("settings of %s: %v", name, err)
	}
	return p
}

func (p *process) start() error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(p.program)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CAMPHORRACK_SETTINGS=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	cmd, done := p.cmd, p.done
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
	p.fleet.record.add("process %s started, pid %d", p.name, cmd.Process.Pid)
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.fleet.record.add("process %s gets %s", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// kill ends the process, also a stopped one.
func (p *process) kill() {
	if p == nil || p.cmd == nil || p.cmd.Process == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.done
}

// close ends all processes and stand-ins.
func (f *fleet) close() {
	for _, p := range append(append([]*process(nil), f.dispatchers...), f.runners...) {
		p.kill()
	}
	for _, t := range f.targets {
		t.stop()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	for _, r := range f.targetPaths {
		r.Close()
	}
	for _, paths := range f.entryPaths {
		for _, r := range paths {
			r.Close()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs:", f.dir)
	}
}

// awaitReady waits until every dispatcher is ready for callers.
func (f *fleet) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	until := time.Now().Add(limit)
	for i := range f.dispatchers {
		for {
			response, err := client.Get("http://" + f.addr(firstDispatcher+i, portReady) + "/readyz")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("dispatcher %d is not ready after %s", i, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

package demo

import (
	"context"
	"crypto/rand"
	"fmt"
	"sync"

	"github.com/camphorrack/camphorrack/internal/localfleet"
)

// deployment is the running fleet of a demonstration and the log that its entries use.
type deployment struct {
	fleet          *localfleet.Fleet
	logProcess     *localfleet.Process
	entryAddresses []string // of the entries; an address is kept when its entry is replaced

	mu      sync.Mutex // guards the slices: restarted processes are replaced in them
	entries []*localfleet.Process
	agents  []*localfleet.Process
	targets []*localfleet.Process
}

// startDeployment starts the fleet and waits until every entry can use every target. It stops the
// fleet again if that fails.
func startDeployment(ctx context.Context, o Options) (*deployment, error) {
	s := &deployment{fleet: localfleet.New(localfleet.Options{BinDir: o.BinDir, LogDir: o.LogDir, Key: rand.Text()})}
	err := s.startAll(ctx, o)
	if err == nil {
		err = awaitTargets(ctx, s.entryAddrs(), len(targetSpeeds))
	}
	if err != nil {
		s.fleet.Close()
		return nil, err
	}
	return s, nil
}

func (s *deployment) startAll(ctx context.Context, o Options) error {
	log, err := s.fleet.StartLog(ctx)
	if err != nil {
		return err
	}
	s.logProcess = log
	for i := range o.entries() {
		listen, err := localfleet.FreeAddr()
		if err != nil {
			return err
		}
		if i == 0 && o.Listen != "" {
			listen = o.Listen
		}
		entry, err := s.fleet.StartEntry(ctx, fmt.Sprintf("entry-%d", i+1), listen, s.entryAddrs(), "-log", s.logURL())
		if err != nil {
			return err
		}
		s.entries = append(s.entries, entry)
		s.entryAddresses = append(s.entryAddresses, entry.Addr)
	}
	for i, speed := range targetSpeeds {
		if err := s.startWorker(ctx, i, speed); err != nil {
			return err
		}
	}
	return nil
}

// startWorker starts an agent and the target that announces to it.
func (s *deployment) startWorker(ctx context.Context, i int, speed float64) error {
	addr, err := localfleet.FreeAddr()
	if err != nil {
		return err
	}
	agent, err := s.startAgent(ctx, i, addr)
	if err != nil {
		return err
	}
	s.agents = append(s.agents, agent)
	target, err := s.fleet.StartTarget(ctx, localfleet.TargetOptions{
		Name: fmt.Sprintf("target-%d", i+1), Agent: agent.Addr, Slots: slotsPerTarget, Speed: speed,
	})
	if err != nil {
		return err
	}
	s.targets = append(s.targets, target)
	return nil
}

func (s *deployment) startAgent(ctx context.Context, i int, listen string) (*localfleet.Process, error) {
	return s.fleet.StartAgent(ctx, fmt.Sprintf("agent-%d", i+1), listen, s.entryAddrs())
}

// restartAgent starts a new agent at the address of the ended one, to which the target still
// announces itself.
func (s *deployment) restartAgent(ctx context.Context, i int) error {
	agent, err := s.startAgent(ctx, i, s.agent(i).Addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.agents[i] = agent
	return nil
}

// restartEntry starts a new entry at the address of the ended one, as an operator does who
// replaces an entry.
func (s *deployment) restartEntry(ctx context.Context, i int) error {
	previous := s.entry(i)
	var peers []string
	for _, addr := range s.entryAddresses {
		if addr != previous.Addr {
			peers = append(peers, addr)
		}
	}
	entry, err := s.fleet.StartEntry(ctx, previous.Name, previous.Addr, peers, "-log", s.logURL())
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries[i] = entry
	return nil
}

func (s *deployment) entry(i int) *localfleet.Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[i]
}

func (s *deployment) agent(i int) *localfleet.Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.agents[i]
}

// daemons returns the current entries and agents.
func (s *deployment) daemons() []*localfleet.Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(append([]*localfleet.Process(nil), s.entries...), s.agents...)
}

func (s *deployment) logURL() string { return "http://" + s.logProcess.Addr }

// entryAddrs returns the addresses of the entries, which do not change when entries are replaced.
func (s *deployment) entryAddrs() []string { return s.entryAddresses }

func addrsOf(processes []*localfleet.Process) []string {
	var all []string
	for _, p := range processes {
		all = append(all, p.Addr)
	}
	return all
}

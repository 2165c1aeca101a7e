package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/standin/crowd"
	"github.com/camphorrack/camphorrack/platform/standin"
)

// Limits of the hosts in runs with GroupClients, low enough for a small crowd to reach them.
const (
	crowdedMemoryMB = 96
	crowdedMaxFDs   = 1000
	// reservedFDs are the descriptors that the platform reserves for files.
	reservedFDs = 200
)

const (
	minCrowd, maxCrowd = 100, 900
	// crowdBodyBytes is the largest body that the configuration allows.
	crowdBodyBytes = 65536
	// crowdPieces is the number of pieces in which a body arrives that comes piece by piece.
	crowdPieces = 10
)

// sender is what the clients of a crowd send.
type sender func(i int, w io.Writer) error

// behaviour returns what the clients of a crowd send, drawn from rnd.
type behaviour func(rnd *rand.Rand) sender

// bodyOfRandomSize returns a request that lacks the last byte of its body, on a path that is that of a queue
// in two of three cases.
func bodyOfRandomSize(rnd *rand.Rand) crowd.Request {
	path := pick(rnd, []string{"/q0/", "/q1/", "/nowhere/"})
	return crowd.Request{Method: "POST", Path: path, Host: standin.Host, Body: crowd.Filler(1 + rnd.IntN(crowdBodyBytes)), Withheld: 1}
}

// withOwnIDs returns clients that send a request with an id of their own each.
func withOwnIDs(rnd *rand.Rand, r crowd.Request) sender {
	path, id := r.Path, rnd.Uint32()
	return func(i int, w io.Writer) error {
		own := r
		own.Path = crowdPath(path, id, i)
		return own.Send(w)
	}
}

func stopShort(rnd *rand.Rand) sender { return withOwnIDs(rnd, bodyOfRandomSize(rnd)) }

func stopAfterOneByte(rnd *rand.Rand) sender {
	r := bodyOfRandomSize(rnd)
	r.Withheld = len(r.Body) - 1
	return withOwnIDs(rnd, r)
}

func stopShortInChunks(rnd *rand.Rand) sender {
	r := bodyOfRandomSize(rnd)
	r.ChunkBytes = crowdBodyBytes
	if rnd.IntN(2) == 0 {
		r.ChunkBytes, r.Body = 1, r.Body[:len(r.Body)/8+1]
	}
	return withOwnIDs(rnd, r)
}

func manySmallSteps(rnd *rand.Rand) sender {
	r := bodyOfRandomSize(rnd)
	r.Body, r.Withheld = `{"bestEffort":true,"pipeline":[`+strings.Repeat("{},", crowdBodyBytes/3-20)+`{}]}`, 0
	return withOwnIDs(rnd, r)
}

func noRequest(*rand.Rand) sender { return func(int, io.Writer) error { return nil } }

// inPieces returns clients whose requests come piece by piece, and may come to their end.
func inPieces(rnd *rand.Rand) sender {
	r := bodyOfRandomSize(rnd)
	r.Withheld = rnd.IntN(2)
	whole := withOwnIDs(rnd, r)
	return func(i int, w io.Writer) error {
		var text strings.Builder
		if err := whole(i, &text); err != nil {
			return err
		}
		size := text.Len()/crowdPieces + 1
		for rest := text.String(); rest != ""; rest = rest[min(size, len(rest)):] {
			if _, err := io.WriteString(w, rest[:min(size, len(rest))]); err != nil {
				return errors.Wrap(err, "send a piece")
			}
			time.Sleep(100 * time.Millisecond)
		}
		return nil
	}
}

// crowdPath returns the path of a request with an id that no other client uses.
func crowdPath(path string, id uint32, i int) string { return fmt.Sprintf("%sf%07x%08x", path, i, id) }

// crowdEntry returns a fault in which a crowd of clients stands still at an entry, whose process must stay
// within the limits of its host.
func crowdEntry(b behaviour) func(*run, *rand.Rand, time.Duration) func() {
	return func(r *run, rnd *rand.Rand, _ time.Duration) func() { return r.openCrowd(rnd.IntN(r.Entries), rnd, b) }
}

// crowdEntries does the same to all entries at once.
func crowdEntries(r *run, rnd *rand.Rand, _ time.Duration) func() {
	var undo []func()
	for entry := range r.Entries {
		undo = append(undo, r.openCrowd(entry, rnd, pick(rnd, []behaviour{stopShort, stopAfterOneByte, stopShortInChunks, manySmallSteps, inPieces})))
	}
	return func() {
		for _, u := range undo {
			u()
		}
	}
}

func (r *run) openCrowd(entry int, rnd *rand.Rand, b behaviour) (undo func()) {
	send, clients := b(rnd), minCrowd+rnd.IntN(maxCrowd-minCrowd)
	addr := strings.TrimPrefix(r.fleet.DirectURL(entry, ""), "http://")
	opened := make(chan *crowd.Crowd, 1)
	go func() { opened <- crowd.Open(addr, clients, send) }()
	return func() {
		r.checkHostLimits(r.fleet.Entries[entry])
		go func() { (<-opened).Close() }()
	}
}

// checkHostLimits checks the peak memory and the open descriptors of a process, unless it is not running.
func (r *run) checkHostLimits(p *standin.Process) {
	pid := p.PID()
	if peak, err := crowd.PeakMemoryMB(pid); err == nil && peak > crowdedMemoryMB {
		r.addBreach("memory", p.Name, fmt.Sprintf("%d MB resident, %d allowed", peak, crowdedMemoryMB))
	}
	if open, err := crowd.Descriptors(pid); err == nil && open > crowdedMaxFDs-reservedFDs {
		r.addBreach("descriptors", p.Name, fmt.Sprintf("%d open, %d allowed", open, crowdedMaxFDs-reservedFDs))
	}
}

// lowerHostLimits halves the descriptors of an entry's host while the process runs.
func lowerHostLimits(r *run, rnd *rand.Rand, _ time.Duration) func() {
	p := pick(rnd, r.fleet.Entries)
	r.setMaxFDs(p, crowdedMaxFDs/2)
	return func() { r.setMaxFDs(p, crowdedMaxFDs) }
}

func (r *run) setMaxFDs(p *standin.Process, maxFDs int) {
	if err := p.SetMaxFDs(maxFDs); err != nil {
		r.addBreach("settings", p.Name, err.Error())
	}
	p.Signal(syscall.SIGHUP)
}

package bench

import (
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/localfleet"
)

// clockTickMs is the unit of CPU times in /proc: Linux reports them at 100 ticks per second on
// all server architectures.
const clockTickMs = 10

// cpuTime is the CPU time that entries and agents used since they started.
type cpuTime struct{ entriesMs, agentsMs float64 }

// cpuTime returns the CPU time used so far, including that of killed entries.
func (f *fleet) cpuTime() (cpuTime, error) {
	sum := cpuTime{entriesMs: f.killedCPUMs}
	for _, p := range f.entries {
		cpuMs, err := processCPUMs(p)
		if err != nil {
			return sum, err
		}
		sum.entriesMs += cpuMs
	}
	for _, p := range f.agents {
		cpuMs, err := processCPUMs(p)
		if err != nil {
			return sum, err
		}
		sum.agentsMs += cpuMs
	}
	return sum, nil
}

var errStat = errors.New("malformed line in /proc/PID/stat")

// processCPUMs returns the sum of a process's user and system time, in milliseconds.
func processCPUMs(p *localfleet.Process) (float64, error) {
	raw, err := os.ReadFile("/proc/" + strconv.Itoa(p.PID()) + "/stat")
	if err != nil {
		return 0, errors.Wrapf(err, "read the CPU time of %s", p.Name)
	}
	return parseCPUMs(string(raw))
}

// parseCPUMs returns the sum of the user and system time in a line of /proc/PID/stat, in
// milliseconds. The program name, in parentheses, may contain any character, so fields are
// counted after its closing parenthesis: the times are the 12th and 13th.
func parseCPUMs(line string) (float64, error) {
	const user, system = 11, 12
	fields := strings.Fields(line[strings.LastIndexByte(line, ')')+1:])
	if len(fields) <= system {
		return 0, errStat
	}
	sum := 0.0
	for _, i := range []int{user, system} {
		ticks, err := strconv.ParseUint(fields[i], 10, 64)
		if err != nil {
			return 0, errors.Wrap(errStat, fields[i])
		}
		sum += float64(ticks) * clockTickMs
	}
	return sum, nil
}

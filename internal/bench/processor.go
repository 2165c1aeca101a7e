package bench

import (
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/localfleet"
)

// clockTickMs is the unit of processor times in /proc, fixed at 100 a second on
// every architecture that Linux runs servers on.
const clockTickMs = 10

// processorTime is what the daemons used since they started.
type processorTime struct{ entryMs, agentMs float64 }

func (f *fleet) processorTime() (processorTime, error) {
	sum := processorTime{entryMs: f.goneMs}
	for _, p := range f.entries {
		used, err := usedMs(p)
		if err != nil {
			return sum, err
		}
		sum.entryMs += used
	}
	for _, p := range f.agents {
		used, err := usedMs(p)
		if err != nil {
			return sum, err
		}
		sum.agentMs += used
	}
	return sum, nil
}

var errStat = errors.New("the process's stat line is malformed")

// usedMs reads a process's user and system time.
func usedMs(p *localfleet.Process) (float64, error) {
	raw, err := os.ReadFile("/proc/" + strconv.Itoa(p.PID()) + "/stat")
	if err != nil {
		return 0, errors.Wrapf(err, "processor time of %s", p.Name)
	}
	return parseStat(string(raw))
}

// parseStat reads a stat line. The program's name, in parentheses, may contain
// anything, so fields count from behind it: the times are the 12th and 13th.
func parseStat(line string) (float64, error) {
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

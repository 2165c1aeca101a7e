package crowd

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrNoUsage is returned for a process that has ended, or whose usage can't be read.
var ErrNoUsage = errors.New("the usage of the process can't be read")

// PeakMemoryMB returns the largest resident memory that a process has had, in MB.
func PeakMemoryMB(pid int) (int, error) {
	status, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0, errors.CombineErrors(ErrNoUsage, err)
	}
	for line := range strings.Lines(string(status)) {
		fields := strings.Fields(line)
		if len(fields) == 3 && fields[0] == "VmHWM:" {
			kb, err := strconv.Atoi(fields[1])
			return (kb + 1023) / 1024, errors.Wrap(err, "peak memory")
		}
	}
	return 0, ErrNoUsage // a process that has ended and was not waited for has no such line
}

// Descriptors returns the number of open descriptors of a process.
func Descriptors(pid int) (int, error) {
	open, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(pid), "fd"))
	if err != nil {
		return 0, errors.CombineErrors(ErrNoUsage, err)
	}
	return len(open), nil
}

package httpconn

import (
	"math"

	"golang.org/x/sys/unix"
)

// DescriptorLimit returns the number of file descriptors that the process may have; 0: unknown.
func DescriptorLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// Package fixedseed makes property tests draw the same schedules on every run, so
// that the verdict on a change does not depend on luck. It is imported by tests
// only, for its effect: a seed given on the command line (-rapid.seed) wins.
package fixedseed

import (
	"flag"
	"os"
	"strings"

	_ "pgregory.net/rapid" // defines the flag; its init has to run before ours
)

// seed is the seed of runs that name none.
const seed = "20261202"

func init() {
	for _, arg := range os.Args {
		if strings.Contains(arg, "rapid.seed") {
			return
		}
	}
	if flag.Lookup("rapid.seed") != nil {
		// The flag was looked up just now, and the value is a number.
		_ = flag.Set("rapid.seed", seed)
	}
}

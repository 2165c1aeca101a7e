// Package logging provides the structured logger of all daemons: the logr API with JSON
// lines as output.
package logging

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// Verbosity levels for logr's V. Decisions are logged at LevelDecision, so that an
// operator can switch one line per task on and off with -log-level.
const (
	LevelInfo     = 0
	LevelDecision = 1
	LevelDebug    = 2
)

// New returns a logger that writes JSON lines to out up to the given verbosity level.
func New(out io.Writer, program string, level int) logr.Logger {
	handler := slog.NewJSONHandler(out, &slog.HandlerOptions{Level: slog.Level(-level)})
	return logr.FromSlogHandler(handler).WithValues("program", program)
}

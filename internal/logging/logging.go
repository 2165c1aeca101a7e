// Package logging makes the structured logger that every daemon uses: logr in
// front, JSON lines behind.
package logging

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// Levels of detail, for logr's V. Decision lines are at LevelDecision, so that an
// operator can turn one line per task on and off with -log-level.
const (
	LevelInfo     = 0
	LevelDecision = 1
	LevelDebug    = 2
)

// New returns a logger that writes JSON lines up to the given level.
func New(out io.Writer, program string, level int) logr.Logger {
	handler := slog.NewJSONHandler(out, &slog.HandlerOptions{Level: slog.Level(-level)})
	return logr.FromSlogHandler(handler).WithValues("program", program)
}

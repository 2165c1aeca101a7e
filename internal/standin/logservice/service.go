// Package logservice is a stand-in for the platform's append-only log service, for
// tests and demonstrations on one machine. It keeps everything in memory and can
// be made slow, down, or to lose answers after the write took effect.
package logservice

import (
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"

	"github.com/camphorrack/camphorrack/internal/platformlog"
	"github.com/camphorrack/camphorrack/internal/platformlog/logfake"
)

// Mode is how the service behaves.
type Mode string

// Modes.
const (
	Normal      Mode = "normal"
	Slow        Mode = "slow"         // every call takes DelayMs longer
	Down        Mode = "down"         // every call fails and nothing is written
	ReadDown    Mode = "read_down"    // appends work, reads fail
	LoseAnswers Mode = "lose_answers" // appends are written, their connections cut
	Late        Mode = "late"         // appends are held back until the next mode
)

// Control is the body of POST /control.
type Control struct {
	Mode    Mode  `json:"mode"`
	DelayMs int64 `json:"delay_ms"`
}

// Status is the answer of GET /status.
type Status struct {
	Mode    Mode                    `json:"mode"`
	Appends uint64                  `json:"appends"`
	Reads   uint64                  `json:"reads"`
	Streams map[string]StreamBounds `json:"streams"`
}

// StreamBounds is what a stream holds.
type StreamBounds struct {
	Lowest uint64 `json:"lowest"`
	End    uint64 `json:"end"`
}

// Options of the service.
type Options struct {
	Retention  time.Duration // records older than this are dropped
	AppendTime time.Duration // time of one synced write; writes follow one another
}

// Service is the stand-in. Serve its Handler.
type Service struct {
	o      Options
	log    *logfake.Log
	writes sync.Mutex // one synced write at a time, as on one disk
	mu     sync.Mutex
	mode   Mode
	reads  uint64
	names  map[string]bool
}

// New returns a service in normal mode.
func New(o Options) *Service {
	return &Service{o: o, log: logfake.New(), mode: Normal, names: map[string]bool{}}
}

// Handler returns the HTTP interface.
func (s *Service) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	r := gin.New()
	r.POST("/v1/streams/:stream/records", s.append)
	r.GET("/v1/streams/:stream/records", s.read)
	r.POST("/control", s.control)
	r.GET("/status", s.status)
	return r
}

// Expire drops what is past retention; call it now and then.
func (s *Service) Expire() { s.log.Expire(s.o.Retention) }

func (s *Service) note(stream string, read bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.names[stream] = true
	if read {
		s.reads++
	}
}

func (s *Service) append(c *gin.Context) {
	stream := c.Param("stream")
	data, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, platformlog.MaxRecordBytes))
	if err != nil {
		c.String(http.StatusRequestEntityTooLarge, "record too large")
		return
	}
	s.note(stream, false)
	s.writes.Lock()
	time.Sleep(s.o.AppendTime)
	offset, err := s.log.Append(c.Request.Context(), stream, data)
	s.writes.Unlock()
	var undecided *platformlog.UndecidedError
	switch {
	case err == nil:
		c.JSON(http.StatusOK, platformlog.AppendAnswer{Offset: offset})
	case errors.As(err, &undecided):
		// Cuts the connection without an answer, as a lost one looks to the caller.
		panic(http.ErrAbortHandler)
	default:
		fail(c, err)
	}
}

func (s *Service) read(c *gin.Context) {
	stream := c.Param("stream")
	from, err1 := strconv.ParseUint(c.Query("from"), 10, 64)
	most, err2 := strconv.Atoi(c.DefaultQuery("max", "0"))
	if err1 != nil || err2 != nil || most < 0 {
		c.String(http.StatusBadRequest, "from and max take whole numbers")
		return
	}
	s.Expire()
	s.note(stream, true)
	records, next, err := s.log.Read(c.Request.Context(), stream, from, most)
	if err != nil {
		fail(c, err)
		return
	}
	c.JSON(http.StatusOK, platformlog.ReadAnswer{Records: records, Next: next})
}

func fail(c *gin.Context, err error) {
	var truncated *platformlog.TruncatedError
	var ahead *platformlog.AheadError
	var refused *platformlog.RefusedError
	switch {
	case errors.As(err, &truncated):
		c.JSON(http.StatusGone, platformlog.BoundsAnswer{Lowest: truncated.Lowest})
	case errors.As(err, &ahead):
		c.JSON(http.StatusRequestedRangeNotSatisfiable, platformlog.BoundsAnswer{End: ahead.End})
	case errors.As(err, &refused):
		c.String(refused.Status, refused.Detail)
	default:
		c.Header(platformlog.HeaderNotWritten, "1")
		c.String(http.StatusServiceUnavailable, err.Error())
	}
}

func (s *Service) control(c *gin.Context) {
	var body Control
	if err := c.ShouldBindJSON(&body); err != nil {
		c.String(http.StatusBadRequest, err.Error())
		return
	}
	faults, ok := faultsOf(body)
	if !ok {
		c.String(http.StatusBadRequest, "no such mode, or a negative delay")
		return
	}
	s.mu.Lock()
	s.mode = body.Mode
	names := slices.Collect(maps.Keys(s.names))
	s.mu.Unlock()
	s.log.SetFaults(faults)
	if body.Mode != Late {
		for _, name := range names {
			s.log.Land(name)
		}
	}
	c.Status(http.StatusOK)
}

func faultsOf(body Control) (logfake.Faults, bool) {
	delay := time.Duration(body.DelayMs) * time.Millisecond
	switch body.Mode {
	case Normal:
		return logfake.Faults{}, true
	case Slow:
		return logfake.Faults{Delay: delay}, delay >= 0
	case Down:
		return logfake.Faults{Down: true}, true
	case ReadDown:
		return logfake.Faults{ReadDown: true}, true
	case LoseAnswers:
		return logfake.Faults{LoseAnswers: true}, true
	case Late:
		return logfake.Faults{Late: true}, true
	}
	return logfake.Faults{}, false
}

func (s *Service) status(c *gin.Context) {
	s.Expire()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := Status{Mode: s.mode, Appends: s.log.Appends(), Reads: s.reads, Streams: map[string]StreamBounds{}}
	for name := range s.names {
		lowest, end := s.log.Bounds(name)
		out.Streams[name] = StreamBounds{lowest, end}
	}
	c.JSON(http.StatusOK, out)
}

package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"
	"github.com/go-logr/logr"

	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/targetapi"
)

const (
	// shutdownQuietPeriod is the time without a start after which a draining target stops. The
	// agent recalls its credits when the target is leaving, but still runs starts that entries
	// sent before the recall reached them.
	shutdownQuietPeriod  = 2 * time.Second
	shutdownPollInterval = 20 * time.Millisecond
	// closeTimeout bounds the shutdown of the HTTP server.
	closeTimeout  = time.Second
	headerTimeout = 5 * time.Second
	// announceTimeout prevents an announcement that hangs from delaying the next.
	announceTimeout = targetapi.AnnounceInterval
)

// Server serves a Target over HTTP and announces it to its agent periodically.
type Server struct {
	options        Options
	log            logr.Logger
	target         *Target
	listener       net.Listener
	server         *http.Server
	client         *http.Client
	stopAnnouncing context.CancelFunc
	done           sync.WaitGroup
}

func init() { gin.SetMode(gin.ReleaseMode) }

// New returns a server that listens on its address but does not serve requests before Start.
func New(o Options, log logr.Logger) (*Server, error) {
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", o.Listen)
	}
	s := &Server{
		options: o, log: log, listener: listener,
		target: newTarget(o.Slots, o.Speed),
		client: &http.Client{Timeout: announceTimeout},
	}
	s.server = &http.Server{Handler: s.handler(), ReadHeaderTimeout: headerTimeout}
	return s, nil
}

// Addr returns the bound address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Start serves requests and sends announcements in the background until Stop.
func (s *Server) Start() {
	ctx, stop := context.WithCancel(context.Background())
	s.stopAnnouncing = stop
	s.done.Go(func() {
		if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
			event.Log(s.log, event.ProcessStopping, "error", err.Error())
		}
	})
	s.done.Go(func() { s.announceLoop(ctx) })
	event.Log(s.log, event.ProcessStarted, "addr", s.Addr(), "target", s.options.Name, "slots", s.options.Slots, "speed", s.options.Speed)
}

// Stop drains the target: it announces that the target is leaving, waits at least
// shutdownQuietPeriod, until no task is running and none has started for that time, and shuts
// the HTTP server down. The end of ctx cuts the wait short and is returned as an error.
func (s *Server) Stop(ctx context.Context) error {
	event.Log(s.log, event.ProcessStopping)
	s.target.drain()
	s.announce(ctx)
	drainedAt := time.Now()
	poll := time.NewTicker(shutdownPollInterval)
	defer poll.Stop()
	for ctx.Err() == nil && (s.target.idleTime() < shutdownQuietPeriod || time.Since(drainedAt) < shutdownQuietPeriod) {
		<-poll.C
	}
	s.stopAnnouncing()
	closing, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := s.server.Shutdown(closing)
	s.done.Wait()
	event.Log(s.log, event.ProcessStopped, "clean", ctx.Err() == nil)
	return errors.CombineErrors(ctx.Err(), err)
}

// announceLoop sends an announcement every targetapi.AnnounceInterval until ctx ends.
func (s *Server) announceLoop(ctx context.Context) {
	tick := time.NewTicker(targetapi.AnnounceInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		s.announce(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

// announce sends one announcement. A failure is only logged, since announcements are repeated.
// A frozen target announces nothing.
func (s *Server) announce(ctx context.Context) {
	if b, _ := s.target.currentBehaviour(); b.Mode == Freeze {
		return
	}
	if err := s.postAnnouncement(ctx); err != nil {
		event.Log(s.log.V(1), event.TargetFailed, "error", err.Error())
	}
}

func (s *Server) postAnnouncement(ctx context.Context) error {
	body, err := json.Marshal(s.announcement())
	if err != nil {
		return err
	}
	url := "http://" + s.options.Agent + targetapi.AnnouncePath
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := s.client.Do(request)
	if err != nil {
		return err
	}
	// The connection is reused only if the body has been read to its end.
	_, err = io.Copy(io.Discard, response.Body)
	return errors.CombineErrors(err, response.Body.Close())
}

func (s *Server) announcement() *targetapi.Announcement {
	return &targetapi.Announcement{
		Name: s.options.Name, Address: s.Addr(), Classes: s.options.classes(), Slots: s.options.Slots,
		Speed: s.options.announcedSpeed(), Connections: s.options.Connections, CPUMilli: s.options.CPUMilli,
		MemoryMB: s.options.MemoryMB, Accelerators: s.options.Accelerators, Leaving: s.target.isDraining(),
	}
}

func (s *Server) handler() http.Handler {
	g := gin.New()
	g.POST(targetapi.RunPath, s.handleRun)
	g.GET("/starts", s.handleStarts)
	g.POST("/mode", s.handleMode)
	return g
}

// handleRun runs a task and responds with its result. A response with HeaderNotRun says that the
// task was not started.
func (s *Server) handleRun(g *gin.Context) {
	var w Workload
	body, err := io.ReadAll(io.LimitReader(g.Request.Body, job.MaxPayloadBytes+1))
	if err == nil {
		err = json.Unmarshal(body, &w)
	}
	if err != nil {
		g.String(http.StatusBadRequest, "the payload is no workload: %v", err)
		return
	}
	r, started := s.target.run(g.Request.Context(), g.GetHeader(targetapi.HeaderTask), &w)
	switch {
	case !started:
		g.Header(targetapi.HeaderNotRun, "1")
		g.String(http.StatusServiceUnavailable, "no slot became free")
	case r == succeeded:
		g.Data(http.StatusOK, "application/octet-stream", []byte(w.Echo))
	default:
		g.String(http.StatusInternalServerError, "told to fail")
	}
}

// handleStarts responds with the start counts, and with the start log if the query has log=1.
func (s *Server) handleStarts(g *gin.Context) {
	g.JSON(http.StatusOK, s.target.snapshot(g.Query("log") == "1"))
}

// handleMode sets the behaviour of the target.
func (s *Server) handleMode(g *gin.Context) {
	var b Behaviour
	if err := json.NewDecoder(g.Request.Body).Decode(&b); err != nil {
		writeFault(g, fault.Input(fault.BadBody, "body", err.Error()))
		return
	}
	if err := b.validate(); err != nil {
		writeFault(g, err)
		return
	}
	s.target.setBehaviour(b)
	g.JSON(http.StatusOK, b)
}

func writeFault(g *gin.Context, f *fault.Fault) { g.JSON(f.Code.Status(), f) }

func (b *Behaviour) validate() *fault.Fault {
	switch b.Mode {
	case Slow:
		if b.Factor <= 0 {
			return fault.Input(fault.BadField, "factor", "takes more than 0")
		}
	case Normal, FailAll, Hang, Freeze:
	default:
		return fault.Input(fault.BadField, "mode", "takes normal, fail_all, hang, slow or freeze")
	}
	return nil
}

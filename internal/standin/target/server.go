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
	// leaveQuiet is how long nothing may have started before a leaving target ends:
	// the agent still runs starts that crossed its recall of slots.
	leaveQuiet = 2 * time.Second
	leavePoll  = 20 * time.Millisecond
	// closeTimeout bounds the end of the last HTTP requests.
	closeTimeout  = time.Second
	headerTimeout = 5 * time.Second
	// maxAnnounceTime keeps one announcement that hangs from holding up the next.
	maxAnnounceTime = targetapi.AnnounceInterval
)

// Server is the stand-in: a target with its HTTP interface and its announcements.
type Server struct {
	o        Options
	log      logr.Logger
	target   *Target
	listener net.Listener
	server   *http.Server
	client   *http.Client
	stop     context.CancelFunc
	done     sync.WaitGroup
}

func init() { gin.SetMode(gin.ReleaseMode) }

// New returns a stand-in that is bound to its address but does not serve yet.
func New(o Options, log logr.Logger) (*Server, error) {
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", o.Listen)
	}
	s := &Server{
		o: o, log: log, listener: listener,
		target: newTarget(o.Slots, o.Speed),
		client: &http.Client{Timeout: maxAnnounceTime},
	}
	s.server = &http.Server{Handler: s.handler(), ReadHeaderTimeout: headerTimeout}
	return s, nil
}

// Addr returns the bound address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Start serves and announces until Stop.
func (s *Server) Start() {
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	s.done.Go(func() {
		if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
			event.Log(s.log, event.ProcessStopping, "error", err.Error())
		}
	})
	s.done.Go(func() { s.announceAlways(ctx) })
	event.Log(s.log, event.ProcessStarted, "addr", s.Addr(), "target", s.o.Name, "slots", s.o.Slots, "speed", s.o.Speed)
}

// Stop announces that the target leaves, finishes what runs and ends.
func (s *Server) Stop(ctx context.Context) error {
	event.Log(s.log, event.ProcessStopping)
	s.target.leave()
	s.announce(ctx)
	left := time.Now()
	poll := time.NewTicker(leavePoll)
	defer poll.Stop()
	for ctx.Err() == nil && (s.target.quietFor() < leaveQuiet || time.Since(left) < leaveQuiet) {
		<-poll.C
	}
	s.stop()
	closing, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := s.server.Shutdown(closing)
	s.done.Wait()
	event.Log(s.log, event.ProcessStopped, "clean", ctx.Err() == nil)
	return errors.CombineErrors(ctx.Err(), err)
}

func (s *Server) announceAlways(ctx context.Context) {
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

// announce sends one announcement; the next one makes up for a loss.
func (s *Server) announce(ctx context.Context) {
	if b, _ := s.target.behaves(); b.Mode == Freeze {
		return
	}
	if err := s.post(ctx); err != nil {
		event.Log(s.log.V(1), event.TargetFailed, "error", err.Error())
	}
}

func (s *Server) post(ctx context.Context) error {
	body, err := json.Marshal(s.announcement())
	if err != nil {
		return err
	}
	url := "http://" + s.o.Agent + targetapi.AnnouncePath
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := s.client.Do(request)
	if err != nil {
		return err
	}
	// Read to its end, the connection can be used again.
	_, err = io.Copy(io.Discard, response.Body)
	return errors.CombineErrors(err, response.Body.Close())
}

func (s *Server) announcement() *targetapi.Announcement {
	return &targetapi.Announcement{
		Name: s.o.Name, Address: s.Addr(), Classes: s.o.classes(), Slots: s.o.Slots,
		Speed: s.o.declaredSpeed(), Connections: s.o.Connections, CPUMilli: s.o.CPUMilli,
		MemoryMB: s.o.MemoryMB, Accelerators: s.o.Accelerators, Leaving: s.target.isLeaving(),
	}
}

func (s *Server) handler() http.Handler {
	g := gin.New()
	g.POST(targetapi.RunPath, s.run)
	g.GET("/starts", s.giveStarts)
	g.POST("/mode", s.takeMode)
	return g
}

func (s *Server) run(g *gin.Context) {
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

func (s *Server) giveStarts(g *gin.Context) {
	g.JSON(http.StatusOK, s.target.snapshot(g.Query("log") == "1"))
}

func (s *Server) takeMode(g *gin.Context) {
	var b Behaviour
	if err := json.NewDecoder(g.Request.Body).Decode(&b); err != nil {
		refuse(g, fault.Input(fault.BadBody, "body", err.Error()))
		return
	}
	if err := b.check(); err != nil {
		refuse(g, err)
		return
	}
	s.target.setBehaviour(b)
	g.JSON(http.StatusOK, b)
}

func refuse(g *gin.Context, f *fault.Fault) { g.JSON(f.Code.Status(), f) }

func (b *Behaviour) check() *fault.Fault {
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

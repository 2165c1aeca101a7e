package logservice

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/fx"

	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/logging"
	"github.com/camphorrack/camphorrack/internal/settings"
)

// Program is the daemon's name.
const Program = "camphorrack-standin-log"

const stopTimeout = 2 * time.Second

// Settings of the daemon.
type Settings struct {
	Listen     string
	Retention  time.Duration
	AppendTime time.Duration
}

// ReadSettings reads flags and environment, and exits where they are wrong.
func ReadSettings() *Settings {
	set := settings.New(Program, os.Stdout)
	listen := set.String("listen", "127.0.0.1:0", "host:port to serve on")
	retention := set.Duration("retention", time.Hour, "how long records are kept")
	appendTime := set.Duration("append-time", 2*time.Millisecond, "time of one synced write")
	set.Check("retention", positive(retention))
	set.Check("append-time", positive(appendTime))
	set.LoadOS()
	return &Settings{*listen, *retention, *appendTime}
}

func positive(d *time.Duration) func() string {
	return func() string {
		if *d <= 0 {
			return "takes a time above 0"
		}
		return ""
	}
}

// Module is the daemon for fx.
var Module = fx.Options(
	fx.NopLogger,
	fx.Provide(ReadSettings, func() logr.Logger { return logging.New(os.Stderr, Program, logging.LevelInfo) }),
	fx.Invoke(run),
)

func run(lc fx.Lifecycle, s *Settings, log logr.Logger) {
	service := New(Options{Retention: s.Retention, AppendTime: s.AppendTime})
	server := &http.Server{Handler: service.Handler(), ReadHeaderTimeout: stopTimeout}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			listener, err := net.Listen("tcp", s.Listen)
			if err != nil {
				return err
			}
			go func() { _ = server.Serve(listener) }() // ends with Shutdown
			event.Log(log, event.ProcessStarted, "addr", listener.Addr().String())
			return nil
		},
		OnStop: func(ctx context.Context) error {
			ctx, cancel := context.WithTimeout(ctx, stopTimeout)
			defer cancel()
			return server.Shutdown(ctx)
		},
	})
}

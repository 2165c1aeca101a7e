package config_test

import (
	"bytes"
	"testing"

	"github.com/camphorrack/camphorrack/internal/config"
	"github.com/camphorrack/camphorrack/internal/platformlog"
)

// No bytes from the log or from a peer may crash a process, and each state that it accepts
// from them can be encoded and decoded again.
func FuzzDecode(f *testing.F) {
	change, err := config.EncodeRecord(&config.Record{Change: &config.Change{ID: "a", Author: "x", Set: []config.Setting{{Key: "drain", Value: 1}}}})
	if err != nil {
		f.Fatal(err)
	}
	snapshot, err := config.EncodeRecord(&config.Record{Snapshot: &config.State{Version: 1, AsOf: 1}})
	if err != nil {
		f.Fatal(err)
	}
	restart, err := config.EncodeRecord(&config.Record{Restart: &config.Restart{ID: "r", State: &config.State{}, End: 3, Author: "x", Reason: "y"}})
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range [][]byte{change, snapshot, restart, {}, {0xff}, bytes.Repeat([]byte{0x81}, 64), {0xa1, 0x01, 0x02}, {0xa1, 0x01, 0x18, 0x63}} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		fold := config.NewFold(&config.State{})
		_, _ = fold.Apply(0, []platformlog.Record{{Offset: 0, Data: data}}, 1)
		checkRoundTrip(t, fold.State())
		truncated := config.NewFold(&config.State{})
		truncated.HandleTruncation(2)
		_, _ = truncated.Apply(2, []platformlog.Record{{Offset: 2, Data: data}}, 3)
		checkRoundTrip(t, truncated.State())
		if s, err := config.DecodeState(data); err == nil {
			checkRoundTrip(t, s)
		}
		_, _ = config.DecodeUpdate(data)
	})
}

// checkRoundTrip checks that a state can be encoded, decoded and resolved.
func checkRoundTrip(t *testing.T, s *config.State) {
	t.Helper()
	b, err := config.EncodeState(s)
	if err != nil {
		t.Fatalf("encode the state: %v", err)
	}
	if _, err := config.DecodeState(b); err != nil {
		t.Fatalf("decode the encoded state: %v", err)
	}
	s.Resolve(config.Location{DataCentre: "a", Target: "b"})
}

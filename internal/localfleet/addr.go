package localfleet

import (
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
)

// Ports for processes that may be restarted at the same address. They lie below the usual
// ephemeral port range: otherwise an outgoing connection could take the port before the restarted
// process listens on it.
const (
	firstPort       = 15000
	endPort         = 30000 // exclusive
	maxPortAttempts = 100
)

var errNoPort = errors.New("no free port found")

// FreeAddr returns a loopback address whose port is free at the time of the call. It fails if none
// of maxPortAttempts random ports is free.
func FreeAddr() (string, error) {
	for range maxPortAttempts {
		port := firstPort + rand.N(uint16(endPort-firstPort))
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port).String()
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		if err := listener.Close(); err != nil {
			return "", errors.WithStack(err)
		}
		return addr, nil
	}
	return "", errors.WithStack(errNoPort)
}

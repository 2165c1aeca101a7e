package localfleet

import (
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
)

// Ports for processes that may be restarted at their address. They lie below the
// usual range of ports for outgoing connections: one of those could take the port
// while the process is away, and its successor could not listen.
const (
	firstPort = 15000
	lastPort  = 30000
	portTries = 100
)

var errNoPort = errors.New("no free port was found")

// FreeAddr returns a loopback address that nothing listens at.
func FreeAddr() (string, error) {
	for range portTries {
		port := firstPort + rand.N(uint16(lastPort-firstPort))
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

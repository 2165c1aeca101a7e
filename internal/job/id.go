// Package job defines submissions and their answers, and the id that binds a submission
// to the one process that may start it.
package job

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/camphorrack/camphorrack/internal/fault"
)

// Incarnation identifies one run of a process. It is random for every start, so that a
// restarted process can't be mistaken for its predecessor.
type Incarnation uint64

// NewIncarnation returns a random incarnation other than zero.
func NewIncarnation() Incarnation {
	var b [8]byte
	for {
		// crypto/rand.Read never fails on the supported systems.
		_, _ = rand.Read(b[:])
		if n := binary.BigEndian.Uint64(b[:]); n != 0 {
			return Incarnation(n)
		}
	}
}

// String returns the incarnation as 16 hexadecimal digits.
func (i Incarnation) String() string {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(i))
	return hex.EncodeToString(b[:])
}

// Owner identifies the process that alone may start the tasks of a submission.
type Owner struct {
	Incarnation Incarnation
	Addr        netip.AddrPort
}

// Key signs tokens. A forged id could otherwise name an address that is not an entry of
// this fleet, and make entries connect to it.
type Key []byte

const (
	idPrefix       = "c1"
	macBytes       = 8
	maxUniqueBytes = 64
)

// Token returns the owner's signed token: "c1-incarnation-address-mac". A caller
// appends "-deadline-unique" to make the id of a submission.
func (o Owner) Token(k Key) string {
	addr, _ := o.Addr.MarshalBinary() // never fails for an AddrPort
	body := idPrefix + "-" + o.Incarnation.String() + "-" + hex.EncodeToString(addr)
	return body + "-" + sign(k, body)
}

// sign returns the truncated HMAC-SHA-256 of body in hexadecimal.
func sign(k Key, body string) string {
	mac := hmac.New(sha256.New, k)
	mac.Write([]byte(body))
	return hex.EncodeToString(mac.Sum(nil)[:macBytes])
}

// ID permanently identifies a submission. Its text binds it to one owner and to one
// deadline: only that incarnation may start it, and not after that time. The owner may
// therefore discard an id after its deadline and still never starts it twice.
type ID struct {
	Owner    Owner
	Deadline time.Time // millisecond resolution
	Unique   string
	text     string
}

// String returns the id's text.
func (id ID) String() string { return id.text }

// NewID returns the id of a submission to the owner of the token. The unique part distinguishes
// ids with the same token and deadline. The error is a *fault.Fault.
func NewID(token string, deadline time.Time, unique string, k Key) (ID, error) {
	return ParseID(token+"-"+strconv.FormatInt(deadline.UnixMilli(), 10)+"-"+unique, k)
}

// ParseID parses an id and verifies its signature. The error is a *fault.Fault.
func ParseID(text string, k Key) (ID, error) {
	parts := strings.SplitN(text, "-", 6)
	if len(parts) != 6 || parts[0] != idPrefix {
		return ID{}, fault.Input(fault.BadID, "id", "want token-deadline-unique with a token from GET /v1/token")
	}
	body := strings.Join(parts[:3], "-")
	if !hmac.Equal([]byte(sign(k, body)), []byte(parts[3])) {
		return ID{}, fault.Input(fault.BadID, "id", "the token was not signed by this fleet")
	}
	owner, err := parseOwner(parts[1], parts[2])
	if err != nil {
		return ID{}, err
	}
	ms, err := strconv.ParseInt(parts[4], 10, 64)
	if err != nil || ms <= 0 || strconv.FormatInt(ms, 10) != parts[4] {
		return ID{}, fault.Input(fault.BadID, "id", "the deadline is not a time in Unix milliseconds")
	}
	if !validName(parts[5]) {
		return ID{}, fault.Input(fault.BadID, "id", "the unique part takes 1 to 64 of A-Z a-z 0-9 _ - .")
	}
	return ID{Owner: owner, Deadline: time.UnixMilli(ms), Unique: parts[5], text: text}, nil
}

// parseOwner parses the owner in an id: the incarnation in 16 hexadecimal digits and the binary
// address in hexadecimal. The error is a *fault.Fault.
func parseOwner(incarnation, addr string) (Owner, error) {
	n, err := strconv.ParseUint(incarnation, 16, 64)
	if err != nil || len(incarnation) != 16 || n == 0 {
		return Owner{}, fault.Input(fault.BadID, "id", "the incarnation is malformed")
	}
	raw, err := hex.DecodeString(addr)
	if err != nil {
		return Owner{}, fault.Input(fault.BadID, "id", "the address is malformed")
	}
	var ap netip.AddrPort
	if err := ap.UnmarshalBinary(raw); err != nil || !ap.IsValid() {
		return Owner{}, fault.Input(fault.BadID, "id", "the address is malformed")
	}
	return Owner{Incarnation: Incarnation(n), Addr: ap}, nil
}

// validName reports whether s is a valid unique part, team or class: 1 to maxUniqueBytes characters of
// A-Z a-z 0-9 _ - and dot.
func validName(s string) bool {
	if len(s) == 0 || len(s) > maxUniqueBytes {
		return false
	}
	for _, r := range s {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		digit := r >= '0' && r <= '9'
		if !letter && !digit && r != '_' && r != '-' && r != '.' {
			return false
		}
	}
	return true
}

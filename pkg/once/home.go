// Package once decides whether a submission may start its tasks, so that they
// start at most once. Primary and Backup are pure state machines: they do no
// I/O, and time is passed in as monotonic durations.
//
// A home is a replica pair of a primary and a backup, both named by
// incarnation. Only the primary named in a submission's id starts its tasks, and
// only after the backup has acknowledged a record of the id. The backup starts
// no tasks. It can fence a home, after which it acknowledges no further record
// under it.
package once

import (
	"encoding/hex"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/pkg/errors"
)

const (
	incarnationBytes = 16
	maxPartBytes     = 128
	homeFields       = 4
	partSeparator    = "~"
	fieldSeparator   = "."
)

// Incarnation identifies one run of a process: 128 random bits, never reused.
type Incarnation [incarnationBytes]byte

// NewIncarnation reads a new incarnation from the random source r.
func NewIncarnation(r io.Reader) (Incarnation, error) {
	var inc Incarnation
	_, err := io.ReadFull(r, inc[:])
	return inc, errors.Wrap(err, "draw an incarnation")
}

// IsZero reports whether the incarnation names no process.
func (i Incarnation) IsZero() bool { return i == Incarnation{} }

// String returns the incarnation in hexadecimal, or "0" for none.
func (i Incarnation) String() string {
	if i.IsZero() {
		return "0"
	}
	return hex.EncodeToString(i[:])
}

// ParseIncarnation parses the result of String.
func ParseIncarnation(s string) (Incarnation, error) {
	var inc Incarnation
	if s == "0" {
		return inc, nil
	}
	raw, err := hex.DecodeString(s)
	if err != nil || len(raw) != incarnationBytes {
		return inc, fmt.Errorf("incarnation %q is not %d hexadecimal bytes", s, incarnationBytes)
	}
	copy(inc[:], raw)
	return inc, nil
}

// Home is a replica pair of a primary and a backup. It is part of each
// submission's id and names the process that may start its tasks.
type Home struct {
	Domain  string      // failure domain of the primary and the backup
	Primary Incarnation // the only process that starts tasks of the home's ids
	Backup  Incarnation // acknowledges records; zero if the home has no backup
	Epoch   uint64      // number of the home among those that the primary minted, from 1
}

// HasBackup reports whether records of the home need an acknowledgement.
func (h Home) HasBackup() bool { return !h.Backup.IsZero() }

// String returns the home as it is written in ids: domain.primary.backup.epoch.
func (h Home) String() string {
	return h.Domain + fieldSeparator + h.Primary.String() + fieldSeparator + h.Backup.String() + fieldSeparator + strconv.FormatUint(h.Epoch, 10)
}

// ParseHome parses the result of String.
func ParseHome(s string) (Home, error) {
	fields := strings.Split(s, fieldSeparator)
	if len(fields) != homeFields || fields[0] == "" {
		return Home{}, badID("home %q does not have the form domain.primary.backup.epoch", s)
	}
	primary, err := ParseIncarnation(fields[1])
	if err != nil || primary.IsZero() {
		return Home{}, badID("home %q names no primary", s)
	}
	backup, err := ParseIncarnation(fields[2])
	if err != nil {
		return Home{}, badID("home %q has a bad backup", s)
	}
	epoch, err := strconv.ParseUint(fields[3], 10, 64)
	if err != nil {
		return Home{}, badID("home %q has a bad epoch", s)
	}
	return Home{Domain: fields[0], Primary: primary, Backup: backup, Epoch: epoch}, nil
}

// ID identifies a submission: a home and the caller's own part.
type ID struct {
	Home Home
	Part string // chosen by the caller, unique under its home
}

// String returns the id in its wire form: home~part.
func (id ID) String() string { return id.Home.String() + partSeparator + id.Part }

// ParseID parses the result of String.
func ParseID(s string) (ID, error) {
	homeText, part, found := strings.Cut(s, partSeparator)
	if !found {
		return ID{}, badID("id %q has no home", s)
	}
	home, err := ParseHome(homeText)
	if err != nil {
		return ID{}, err
	}
	if part == "" || len(part) > maxPartBytes || strings.ContainsAny(part, "~/?# \t\r\n") {
		return ID{}, badID("id %q needs a part of 1 to %d characters without ~/?# and white space", s, maxPartBytes)
	}
	return ID{Home: home, Part: part}, nil
}

// HasHome reports whether the text of an id contains a home. A text without one
// is a plain idempotency key.
func HasHome(s string) bool { return strings.Contains(s, partSeparator) }

func badID(format string, args ...any) error {
	return errkind.New(errkind.BadRequest, "take a home from GET /v1/home and append ~ and a part of your own", format, args...)
}

// Package confstore keeps configurations at the platform: bodies in the
// object store under their digests, and one row in the table that names the
// version in force, advanced by compare-and-set. A record of each version is
// kept beside it, which tells whether an apply whose answer was lost took
// effect.
package confstore

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/foxcroft/foxcroft/pkg/config"
	"github.com/foxcroft/foxcroft/pkg/errkind"
	"github.com/foxcroft/foxcroft/pkg/platform"
)

const (
	headKey       = "config/head"
	versionPrefix = "config/version/"
	readBackTries = 20
	readBackPause = 250 * time.Millisecond
)

// Entry says which document a version is, and where it came from.
type Entry struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`   // SHA-256 of the body, in hexadecimal
	ApplyID string `json:"apply_id"` // drawn by the apply that made the version
	Author  string `json:"author"`
	Note    string `json:"note,omitempty"`
}

// Store reads and writes configurations at a platform.
type Store struct {
	platform platform.Platform
	pause    func(time.Duration) // between tries to read back
}

// New makes a store.
func New(p platform.Platform) *Store { return &Store{platform: p, pause: time.Sleep} }

// Digest returns the digest under which a body is kept.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Head returns the version in force; a zero Entry means that there is none.
func (s *Store) Head(ctx context.Context) (Entry, error) {
	entry, err := s.entry(ctx, headKey)
	if errkind.Of(err) == errkind.NotFound {
		return Entry{}, nil
	}
	return entry, err
}

// Body returns the body of an entry and checks it against the digest.
func (s *Store) Body(ctx context.Context, entry Entry) ([]byte, error) {
	body, err := s.platform.GetObject(ctx, entry.Digest)
	if err != nil {
		return nil, err
	}
	if Digest(body) != entry.Digest {
		return nil, errkind.New(errkind.PlatformDown, "apply the configuration again", "the object store returned another body than %s", entry.Digest)
	}
	return body, nil
}

// History returns the versions so far, oldest first.
func (s *Store) History(ctx context.Context) ([]Entry, error) {
	rows, err := s.platform.Scan(ctx, versionPrefix)
	if err != nil {
		return nil, err
	}
	entries := make([]Entry, 0, len(rows))
	for _, row := range rows {
		var entry Entry
		if err := json.Unmarshal(row.Value, &entry); err != nil {
			return nil, errkind.Wrap(err, errkind.Internal, "look at the row at the platform", "row %s cannot be read", row.Key)
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// Apply makes body the next version after base. It fails with Conflict when
// another version was applied since, with BadConfig when the body is faulty,
// and with PlatformMaybe when it cannot be told whether it took effect.
func (s *Store) Apply(ctx context.Context, base uint64, body []byte, proposal Entry) (Entry, error) {
	if _, err := config.Parse("configuration", body); err != nil {
		return Entry{}, err
	}
	proposal.Version = base + 1
	proposal.Digest = Digest(body)
	head, err := s.Head(ctx)
	if err != nil {
		return Entry{}, err
	}
	if head.Version != base {
		return Entry{}, s.conflict(base, head)
	}
	// The body goes first: a head never names a body that is not there.
	if err := s.putBody(ctx, proposal.Digest, body); err != nil {
		return Entry{}, err
	}
	return s.advance(ctx, base, proposal)
}

// putBody puts an object. Doing so twice does no harm, so a lost answer is
// simply tried again. Whether the object is there in the end doesn't matter to the
// operator: without a head that names it, the version isn't in force.
func (s *Store) putBody(ctx context.Context, digest string, body []byte) error {
	err := s.platform.PutObject(ctx, digest, body)
	for tries := 0; errkind.Of(err) == errkind.PlatformMaybe && tries < readBackTries; tries++ {
		s.pause(readBackPause)
		err = s.platform.PutObject(ctx, digest, body)
	}
	if errkind.Of(err) == errkind.PlatformMaybe {
		return errkind.Wrap(err, errkind.PlatformDown, "apply it again when the platform answers", "the version isn't in force: it isn't known whether its body is stored")
	}
	return err
}

// advance writes the head and the version's record in one transaction. An
// answer that was lost is no harm: the same write is sent again until the
// record of the version tells whose proposal won. The expected versions let
// at most one take effect.
func (s *Store) advance(ctx context.Context, base uint64, proposal Entry) (Entry, error) {
	value, err := json.Marshal(proposal)
	if err != nil {
		return Entry{}, errkind.Wrap(err, errkind.Internal, "report it", "the entry cannot be encoded")
	}
	writes := []platform.Write{
		{Key: headKey, Value: value, Expect: base}, // the head's row is written once a version
		{Key: versionKey(proposal.Version), Value: value},
	}
	maybe := false
	for tries := 0; tries < readBackTries && ctx.Err() == nil; tries++ {
		err := s.platform.Commit(ctx, writes)
		if err == nil {
			return proposal, nil
		}
		if errkind.Of(err) == errkind.PlatformDown && !maybe {
			return Entry{}, err // no effect, and none before
		}
		maybe = true
		winner, err := s.entry(ctx, versionKey(proposal.Version))
		if err == nil {
			return s.settle(base, proposal, winner)
		}
		s.pause(readBackPause)
	}
	return Entry{}, errkind.New(errkind.PlatformMaybe, "when the platform answers, look for apply id "+proposal.ApplyID+" with status -history", "it cannot be told whether version %d took effect", proposal.Version)
}

func (s *Store) settle(base uint64, proposal, winner Entry) (Entry, error) {
	if winner.ApplyID != proposal.ApplyID {
		return Entry{}, s.conflict(base, winner)
	}
	return proposal, nil
}

func (s *Store) conflict(base uint64, head Entry) error {
	return errkind.New(errkind.Conflict, fmt.Sprintf("merge your change with version %d and apply with -base %d", head.Version, head.Version),
		"version %d by %s (%s) was applied since version %d", head.Version, head.Author, head.Note, base)
}

func (s *Store) entry(ctx context.Context, key string) (Entry, error) {
	row, err := s.platform.Get(ctx, key)
	if err != nil {
		return Entry{}, err
	}
	var entry Entry
	if err := json.Unmarshal(row.Value, &entry); err != nil {
		return Entry{}, errkind.Wrap(err, errkind.Internal, "look at the row at the platform", "row %s cannot be read", key)
	}
	return entry, nil
}

func versionKey(version uint64) string { return fmt.Sprintf("%s%020d", versionPrefix, version) }

package config

import (
	"errors"
	"sync"
	"sync/atomic"
)

// Verdict is what a Store did with a snapshot.
type Verdict uint8

const (
	// Applied: it is in force now.
	Applied Verdict = iota + 1
	// NotNewer: its revision is not above the one in force.
	NotNewer
	// Rejected: it is not valid; the one in force stays.
	Rejected
	// Conflicting: it has the revision in force with another content.
	Conflicting
)

var verdictNames = map[Verdict]string{Applied: "adopted", NotNewer: "not newer", Rejected: "refused", Conflicting: "conflicting"}

func (v Verdict) String() string { return verdictNames[v] }

// ApplyResult tells of an offered snapshot.
type ApplyResult struct {
	Verdict  Verdict
	Previous *Snapshot
	Snapshot *Snapshot
	// Err is the *RefusedError of a refused snapshot.
	Err error
}

// Store holds the snapshot in force. Only a higher revision replaces it, so a
// platform or a peer with stale contents can't take the daemon back. It is safe
// for concurrent use; Current never blocks.
type Store struct {
	mu      sync.Mutex
	current atomic.Pointer[held]
	refused refusedSnapshot
}

type held struct {
	snapshot *Snapshot
	files    []File
}

type refusedSnapshot struct {
	revision, digest uint64
	err              error
}

// ErrNoSnapshot is returned while no configuration has been adopted.
var ErrNoSnapshot = errors.New("no configuration is in force yet")

// Current returns the snapshot in force, or nil before the first.
func (s *Store) Current() *Snapshot {
	if h := s.current.Load(); h != nil {
		return h.snapshot
	}
	return nil
}

// Revision returns the revision in force, 0 before the first.
func (s *Store) Revision() uint64 {
	if snapshot := s.Current(); snapshot != nil {
		return snapshot.Revision
	}
	return 0
}

// Digest returns the digest of the snapshot in force.
func (s *Store) Digest() uint64 {
	if snapshot := s.Current(); snapshot != nil {
		return snapshot.Digest
	}
	return 0
}

// Files returns the files of the snapshot in force, for a peer that asks.
func (s *Store) Files() (revision uint64, files []File) {
	h := s.current.Load()
	if h == nil {
		return 0, nil
	}
	return h.snapshot.Revision, h.files
}

// Apply takes a snapshot into force if it is newer and valid.
func (s *Store) Apply(revision uint64, files []File) ApplyResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.Current()
	if verdict := s.compare(previous, revision, files); verdict != 0 {
		return ApplyResult{Verdict: verdict, Previous: previous}
	}
	digest := Digest(files)
	if s.refused.revision == revision && s.refused.digest == digest {
		return ApplyResult{Verdict: Rejected, Previous: previous, Err: s.refused.err}
	}
	snapshot, err := Load(revision, files)
	if err != nil {
		s.refused = refusedSnapshot{revision, digest, err}
		return ApplyResult{Verdict: Rejected, Previous: previous, Err: err}
	}
	s.current.Store(&held{snapshot, files})
	return ApplyResult{Verdict: Applied, Previous: previous, Snapshot: snapshot}
}

func (s *Store) compare(previous *Snapshot, revision uint64, files []File) Verdict {
	if previous == nil || revision > previous.Revision {
		return 0
	}
	if revision == previous.Revision && Digest(files) != previous.Digest {
		return Conflicting
	}
	return NotNewer
}

// RejectedRevision returns the revision last refused and why, or 0.
func (s *Store) RejectedRevision() (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused.revision, s.refused.err
}

package config

import (
	"errors"
	"sync"
	"sync/atomic"
)

// Verdict is the decision of a Store on a folder.
type Verdict uint8

const (
	// Applied means that the folder is the current configuration now.
	Applied Verdict = iota + 1
	// NotNewer means that the revision is not above the current one.
	NotNewer
	// Rejected means that the folder is invalid. The current snapshot stays.
	Rejected
	// Conflicting means that the folder has the current revision but another
	// content.
	Conflicting
)

var verdictNames = map[Verdict]string{Applied: "adopted", NotNewer: "not newer", Rejected: "refused", Conflicting: "conflicting"}

func (v Verdict) String() string { return verdictNames[v] }

// ApplyResult is the result of Store.Apply.
type ApplyResult struct {
	Verdict  Verdict
	Previous *Snapshot
	Snapshot *Snapshot
	// Err is the *InvalidError of a rejected folder.
	Err error
}

// Store holds the current snapshot. Only a higher revision replaces it, so that a
// platform or a peer with stale contents can't roll the daemon back. It is safe for
// concurrent use; Current never blocks.
type Store struct {
	mu       sync.Mutex
	current  atomic.Pointer[appliedFolder]
	rejected rejectedFolder
}

type appliedFolder struct {
	snapshot *Snapshot
	files    []File
}

type rejectedFolder struct {
	revision, digest uint64
	err              error
}

// ErrNoSnapshot is returned before the first configuration is applied.
var ErrNoSnapshot = errors.New("no configuration is in force yet")

// Current returns the current snapshot, or nil before the first one is applied.
func (s *Store) Current() *Snapshot {
	if folder := s.current.Load(); folder != nil {
		return folder.snapshot
	}
	return nil
}

// Revision returns the current revision, or 0 before the first snapshot.
func (s *Store) Revision() uint64 {
	if snapshot := s.Current(); snapshot != nil {
		return snapshot.Revision
	}
	return 0
}

// Digest returns the digest of the current snapshot, or 0 before the first one.
func (s *Store) Digest() uint64 {
	if snapshot := s.Current(); snapshot != nil {
		return snapshot.Digest
	}
	return 0
}

// Files returns the revision and files of the current snapshot, which peers fetch.
func (s *Store) Files() (revision uint64, files []File) {
	folder := s.current.Load()
	if folder == nil {
		return 0, nil
	}
	return folder.snapshot.Revision, folder.files
}

// Apply makes a folder the current configuration if it is newer and valid. The last
// rejected folder is not loaded again when it is received again.
func (s *Store) Apply(revision uint64, files []File) ApplyResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.Current()
	if verdict := s.compareRevision(previous, revision, files); verdict != 0 {
		return ApplyResult{Verdict: verdict, Previous: previous}
	}
	digest := Digest(files)
	if s.rejected.revision == revision && s.rejected.digest == digest {
		return ApplyResult{Verdict: Rejected, Previous: previous, Err: s.rejected.err}
	}
	snapshot, err := Load(revision, files)
	if err != nil {
		s.rejected = rejectedFolder{revision, digest, err}
		return ApplyResult{Verdict: Rejected, Previous: previous, Err: err}
	}
	s.current.Store(&appliedFolder{snapshot, files})
	return ApplyResult{Verdict: Applied, Previous: previous, Snapshot: snapshot}
}

func (s *Store) compareRevision(previous *Snapshot, revision uint64, files []File) Verdict {
	if previous == nil || revision > previous.Revision {
		return 0
	}
	if revision == previous.Revision && Digest(files) != previous.Digest {
		return Conflicting
	}
	return NotNewer
}

// RejectedRevision returns the last rejected revision with its error, or 0.
func (s *Store) RejectedRevision() (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejected.revision, s.rejected.err
}

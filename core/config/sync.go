package config

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// FileRef names a file of the platform's folder and its content's digest, the
// lowercase SHA-256 sum.
type FileRef struct {
	Name   string `json:"name"`
	Digest string `json:"sha256"`
}

// Manifest lists the folder at one revision.
type Manifest struct {
	Revision uint64    `json:"revision"`
	Files    []FileRef `json:"files"`
}

// Peer is another daemon that may hold a snapshot.
type Peer struct {
	Name    string
	Address string
}

// SyncOptions are the bounds of a Syncer.
type SyncOptions struct {
	// DirectReadFiles is the number of changed files up to which a daemon reads them
	// from the platform itself; for more it asks peers first.
	DirectReadFiles int
	// PlatformCallRate is what all daemons together aim at on the platform, in calls a
	// second; it sets the window over which they spread their calls.
	PlatformCallRate float64
	// MinSpread is the least window.
	MinSpread time.Duration
	// StaggerPerFile is the time that one daemon's turn to read a whole folder
	// from the platform lasts, for each of its files.
	StaggerPerFile time.Duration
	// MaxStagger bounds the wait for a turn; daemons beyond it spread their reads
	// over as much time again.
	MaxStagger time.Duration
	// PeerInterval is the time between two questions to peers while one is
	// behind.
	PeerInterval time.Duration
	// StartupPeers is the number of peers that a starting daemon hears before it
	// is ready, as far as there are that many.
	StartupPeers int
	// StartupTimeout is the longest wait for those peers.
	StartupTimeout time.Duration
	// Backoff is the first wait after the platform failed; it doubles up to
	// BackoffMax.
	Backoff    time.Duration
	MaxBackoff time.Duration
}

// DefaultSyncOptions returns the bounds used when the settings name none.
func DefaultSyncOptions() SyncOptions {
	return SyncOptions{DirectReadFiles: 4, PlatformCallRate: 1000, MinSpread: time.Second, StaggerPerFile: 2500 * time.Microsecond, MaxStagger: time.Minute,
		PeerInterval: 500 * time.Millisecond, StartupPeers: 3, StartupTimeout: 5 * time.Second,
		Backoff: 500 * time.Millisecond, MaxBackoff: 10 * time.Second}
}

// SyncAction is something the adapter has to do: WatchPlatform, ReadFiles,
// AskPeer or OfferSnapshot.
type SyncAction interface{ syncAction() }

type (
	// WatchPlatform waits at the platform for a manifest above a revision.
	WatchPlatform struct{ Above uint64 }
	// ReadFiles reads files of one revision from the platform.
	ReadFiles struct {
		Revision uint64
		Names    []string
	}
	// AskPeer fetches a snapshot above a revision from a peer.
	AskPeer struct {
		Peer  Peer
		Above uint64
	}
	// ApplySnapshot gives a whole folder to the Store; its verdict comes back
	// as InForce.
	ApplySnapshot struct {
		Revision uint64
		Files    []File
		Source   string
	}
)

func (WatchPlatform) syncAction() {}
func (ReadFiles) syncAction()     {}
func (AskPeer) syncAction()       {}
func (ApplySnapshot) syncAction() {}

// Syncer decides when this daemon asks whom for the configuration. It keeps the
// platform's calls low: one waiting watch a daemon, few changed files read by
// everybody within a window that grows with the fleet, whole folders read by one daemon after the other
// while the rest fetch them from peers.
type Syncer struct {
	options SyncOptions
	random  func() float64
	started time.Time

	inForce  uint64
	files    map[string]File   // last adopted or read, by name
	digests  map[string]string // of files
	peers    []Peer
	turn     int
	heard    map[string]bool
	heardAll bool

	watching   bool
	watchAt    time.Time
	backoff    time.Duration
	manifest   *Manifest
	missing    []string
	reading    bool
	readAt     time.Time
	fetched    map[string]File
	askingPeer bool
	askAt      time.Time
	named      Peer
	namedRev   uint64
	asked      int // questions to any peer since the start
}

// NewSyncer returns a syncer that has nothing yet. random returns numbers from
// 0 up to 1.
func NewSyncer(now time.Time, options SyncOptions, random func() float64) *Syncer {
	return &Syncer{options: options, random: random, started: now, watchAt: now, askAt: now,
		files: map[string]File{}, digests: map[string]string{}, heard: map[string]bool{}}
}

// SetPeers takes over the known daemons and this daemon's place in the order in
// which whole folders are read. Every daemon sorts the same list alike.
func (s *Syncer) SetPeers(peers []Peer, turn int) {
	s.peers, s.turn = peers, turn
}

// Ready says whether the daemon may serve: a snapshot is in force and several
// peers were asked for a higher one. Without the second, a replaced host could
// start with the contents of a stale platform although its peers know better.
func (s *Syncer) Ready(now time.Time) bool {
	if s.inForce == 0 {
		return false
	}
	wanted := min(s.options.StartupPeers, len(s.peers))
	return s.heardAll || len(s.heard) >= wanted || now.Sub(s.started) >= s.options.StartupTimeout
}

// Behind says whether a higher revision is known than the one in force.
func (s *Syncer) Behind() bool {
	return s.namedRev > s.inForce || (s.manifest != nil && s.manifest.Revision > s.inForce)
}

// Resync makes the daemon ask its peers again as at a start. It is called after
// a pause, when the revision in force may have been passed long ago.
func (s *Syncer) Resync(now time.Time) {
	s.started = now
	s.heard = map[string]bool{}
	s.heardAll, s.asked = false, 0
	s.askAt = now
	s.watchAt = now
}

// SetCurrent takes in the Store's verdict: the revision now in force and its files.
// After a refusal the manifest is dropped, so that the daemon waits for the next
// revision instead of reading the bad one again and again.
func (s *Syncer) SetCurrent(revision uint64, files []File) {
	s.inForce = revision
	for _, file := range files {
		s.files[file.Name] = file
		s.digests[file.Name] = FileDigest(file)
	}
	if s.namedRev <= revision {
		s.namedRev = 0
	}
}

// ManifestReceived takes in the platform's answer to a watch; nil if nothing is new.
func (s *Syncer) ManifestReceived(now time.Time, manifest *Manifest) []SyncAction {
	s.watching = false
	s.backoff = 0
	if manifest == nil || manifest.Revision <= s.inForce {
		s.watchAt = now.Add(s.part(s.options.MinSpread))
		return s.Tick(now)
	}
	if s.manifest != nil && manifest.Revision <= s.manifest.Revision {
		return s.Tick(now)
	}
	s.manifest = manifest
	s.fetched = map[string]File{}
	s.missing = nil
	for _, ref := range manifest.Files {
		if digest, ok := s.digests[ref.Name]; ok && digest == ref.Digest {
			s.fetched[ref.Name] = s.files[ref.Name]
			continue
		}
		s.missing = append(s.missing, ref.Name)
	}
	// Changes that follow one another closely are taken together: without the
	// wait, each would cost a call of every daemon.
	s.watchAt = now.Add(s.spread() + s.part(s.spread()))
	s.readAt = now.Add(s.readDelay())
	return s.Tick(now)
}

func (s *Syncer) readDelay() time.Duration {
	if len(s.missing) <= s.options.DirectReadFiles {
		return s.part(s.spread())
	}
	turn := time.Duration(len(s.missing)) * s.options.StaggerPerFile
	wait := time.Duration(s.turn)*turn + s.part(turn/2)
	if wait > s.options.MaxStagger {
		return s.options.MaxStagger + s.part(s.options.MaxStagger)
	}
	return wait
}

// spread is the window in which every daemon may read its few changed files and
// watch anew without all together exceeding CallRate.
func (s *Syncer) spread() time.Duration {
	files := min(len(s.missing), s.options.DirectReadFiles)
	calls := float64(len(s.peers)+1) * float64(files+1)
	return max(s.options.MinSpread, time.Duration(calls/s.options.PlatformCallRate*float64(time.Second)))
}

// part returns a random part of a duration.
func (s *Syncer) part(d time.Duration) time.Duration { return time.Duration(s.random() * float64(d)) }

// WatchFailed takes in a watch without an answer.
func (s *Syncer) WatchFailed(now time.Time) []SyncAction {
	s.watching = false
	s.watchAt = now.Add(s.retryDelay())
	return s.Tick(now)
}

func (s *Syncer) retryDelay() time.Duration {
	s.backoff = min(max(2*s.backoff, s.options.Backoff), s.options.MaxBackoff)
	return time.Duration((0.5 + s.random()) * float64(s.backoff))
}

// FilesRead takes in files of a revision.
func (s *Syncer) FilesRead(now time.Time, revision uint64, files []File) []SyncAction {
	s.reading = false
	if s.manifest == nil || s.manifest.Revision != revision {
		return s.Tick(now)
	}
	for _, file := range files {
		s.fetched[file.Name] = file
	}
	s.missing = nil
	return append(s.complete(), s.Tick(now)...)
}

// complete offers the manifest's files once all are there.
func (s *Syncer) complete() []SyncAction {
	manifest := s.manifest
	var whole []File
	for _, ref := range manifest.Files {
		file, ok := s.fetched[ref.Name]
		if !ok || FileDigest(file) != ref.Digest {
			s.manifest = nil
			return nil
		}
		whole = append(whole, file)
	}
	s.manifest, s.fetched = nil, nil
	return []SyncAction{ApplySnapshot{Revision: manifest.Revision, Files: whole, Source: "platform"}}
}

// ReadFailed takes in a failed read of files, also of a revision that the
// platform has passed.
func (s *Syncer) ReadFailed(now time.Time) []SyncAction {
	s.reading = false
	s.manifest = nil
	s.watchAt = now.Add(s.retryDelay())
	return s.Tick(now)
}

// RevisionAdvertised takes in a revision that a message from a peer carried.
func (s *Syncer) RevisionAdvertised(now time.Time, peer Peer, revision uint64) []SyncAction {
	if revision <= s.inForce || revision <= s.namedRev || peer.Address == "" {
		return nil
	}
	s.named, s.namedRev = peer, revision
	s.askAt = earlier(s.askAt, now.Add(time.Duration(s.random()*float64(s.options.PeerInterval/4))))
	return s.Tick(now)
}

// PeerReplied takes in a peer's snapshot, or revision 0 if it has none above
// the one asked for.
func (s *Syncer) PeerReplied(now time.Time, peer Peer, revision uint64, files []File) []SyncAction {
	s.askingPeer = false
	s.heard[peer.Name] = true
	s.askAt = now.Add(s.options.PeerInterval)
	var actions []SyncAction
	if revision > s.inForce {
		actions = append(actions, ApplySnapshot{Revision: revision, Files: files, Source: "peer " + peer.Name})
		s.dropManifest(revision)
	}
	return append(actions, s.Tick(now)...)
}

// dropManifest forgets a manifest that a peer's snapshot has overtaken.
func (s *Syncer) dropManifest(revision uint64) {
	if s.manifest != nil && s.manifest.Revision <= revision && !s.reading {
		s.manifest = nil
	}
}

// PeerFailed takes in a peer that did not answer.
func (s *Syncer) PeerFailed(now time.Time, peer Peer) []SyncAction {
	s.askingPeer = false
	s.askAt = now.Add(s.options.PeerInterval)
	if peer.Name == s.named.Name {
		s.namedRev = 0
	}
	return s.Tick(now)
}

// Tick returns what is due.
func (s *Syncer) Tick(now time.Time) []SyncAction {
	var actions []SyncAction
	if s.manifest != nil && s.manifest.Revision <= s.inForce && !s.reading {
		s.manifest = nil
	}
	if !s.watching && s.manifest == nil && !now.Before(s.watchAt) {
		s.watching = true
		actions = append(actions, WatchPlatform{Above: s.inForce})
	}
	actions = append(actions, s.readDue(now)...)
	return append(actions, s.askDue(now)...)
}

func (s *Syncer) readDue(now time.Time) []SyncAction {
	if s.manifest == nil || s.reading || now.Before(s.readAt) {
		return nil
	}
	if len(s.missing) == 0 {
		return s.complete()
	}
	s.reading = true
	return []SyncAction{ReadFiles{Revision: s.manifest.Revision, Names: s.missing}}
}

func (s *Syncer) askDue(now time.Time) []SyncAction {
	if s.askingPeer || now.Before(s.askAt) {
		return nil
	}
	peer, ok := s.choosePeer(now)
	if !ok {
		return nil
	}
	s.askingPeer = true
	return []SyncAction{AskPeer{Peer: peer, Above: s.inForce}}
}

// choosePeer returns the peer that named a higher revision; else, while this
// daemon is starting or waits for its turn to read, any.
func (s *Syncer) choosePeer(now time.Time) (Peer, bool) {
	if s.namedRev > s.inForce {
		return s.named, true
	}
	if len(s.peers) == 0 || (s.Ready(now) && !s.Behind()) {
		return Peer{}, false
	}
	s.asked++
	if s.asked > 2*len(s.peers) {
		s.heardAll = true
	}
	// A random choice spreads a snapshot like an epidemic; walking the list in
	// order would make most daemons ask those that have not got it either.
	return s.peers[min(int(s.random()*float64(len(s.peers))), len(s.peers)-1)], true
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// FileDigest identifies one file's content, as the platform does.
func FileDigest(file File) string {
	sum := sha256.Sum256(file.Content)
	return hex.EncodeToString(sum[:])
}

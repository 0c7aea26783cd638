package config

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// FileRef is a file name in the platform's folder with the SHA-256 sum of the
// content in lowercase hexadecimal.
type FileRef struct {
	Name   string `json:"name"`
	Digest string `json:"sha256"`
}

// Manifest lists the files of the folder at one revision.
type Manifest struct {
	Revision uint64    `json:"revision"`
	Files    []FileRef `json:"files"`
}

// Peer is another daemon, from which a snapshot can be fetched.
type Peer struct {
	Name    string
	Address string
}

// SyncOptions configures a Syncer.
type SyncOptions struct {
	// DirectReadFiles is the maximum number of changed files that every daemon
	// reads from the platform directly. Reads of more files are staggered, and
	// peers are asked meanwhile.
	DirectReadFiles int
	// PlatformCallRate is the target for the total rate of platform calls of all
	// daemons, in calls per second. It sets the window over which they spread
	// their calls.
	PlatformCallRate float64
	// MinSpread is the minimum window.
	MinSpread time.Duration
	// StaggerPerFile is the delay per file between the reads of whole folders by
	// two consecutive daemons.
	StaggerPerFile time.Duration
	// MaxStagger bounds the staggered delay. Daemons that exceed it spread their
	// reads over another MaxStagger.
	MaxStagger time.Duration
	// PeerInterval is the time between two requests to peers while the daemon
	// is starting or behind.
	PeerInterval time.Duration
	// StartupPeers is the number of peers that must reply before a starting
	// daemon is ready; fewer if there are not that many.
	StartupPeers int
	// StartupTimeout bounds the wait for these replies.
	StartupTimeout time.Duration
	// Backoff is the delay after the first failure of the platform. It doubles
	// up to MaxBackoff.
	Backoff    time.Duration
	MaxBackoff time.Duration
}

// DefaultSyncOptions returns the default options.
func DefaultSyncOptions() SyncOptions {
	return SyncOptions{DirectReadFiles: 4, PlatformCallRate: 1000, MinSpread: time.Second, StaggerPerFile: 2500 * time.Microsecond, MaxStagger: time.Minute,
		PeerInterval: 500 * time.Millisecond, StartupPeers: 3, StartupTimeout: 5 * time.Second,
		Backoff: 500 * time.Millisecond, MaxBackoff: 10 * time.Second}
}

// SyncAction is an action that Syncer asks its adapter to perform: WatchPlatform,
// ReadFiles, AskPeer or ApplySnapshot.
type SyncAction interface{ syncAction() }

type (
	// WatchPlatform long-polls the platform for a manifest above a revision.
	WatchPlatform struct{ Above uint64 }
	// ReadFiles reads files of a revision from the platform.
	ReadFiles struct {
		Revision uint64
		Names    []string
	}
	// AskPeer fetches a snapshot above a revision from a peer.
	AskPeer struct {
		Peer  Peer
		Above uint64
	}
	// ApplySnapshot passes a complete folder to Store.Apply. The adapter then
	// calls Syncer.SetCurrent.
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

// Syncer decides when and from where a daemon fetches the configuration. It limits
// the load on the platform: each daemon keeps one long-poll open; all daemons read a
// few changed files directly, within a window that grows with the fleet; whole
// folders are read by staggered daemons while the others fetch them from peers.
// It does no I/O and is not safe for concurrent use.
type Syncer struct {
	options SyncOptions
	random  func() float64
	started time.Time

	current    uint64            // current revision
	files      map[string]File   // last applied, by name
	digests    map[string]string // of files
	peers      []Peer
	index      int // of this daemon among all daemons
	replied    map[string]bool
	peersTried bool // enough requests were sent to have tried all peers

	watching     bool
	watchAt      time.Time
	backoff      time.Duration
	manifest     *Manifest
	missing      []string
	reading      bool
	readAt       time.Time
	fetched      map[string]File
	askingPeer   bool
	askAt        time.Time
	advertiser   Peer   // peer that advertised the highest revision
	advertised   uint64 // 0 if not above the current revision
	peerRequests int    // requests to any peer since the start or Resync
}

// NewSyncer returns a Syncer without a configuration. random returns numbers in
// [0, 1).
func NewSyncer(now time.Time, options SyncOptions, random func() float64) *Syncer {
	return &Syncer{options: options, random: random, started: now, watchAt: now, askAt: now,
		files: map[string]File{}, digests: map[string]string{}, replied: map[string]bool{}}
}

// SetPeers sets the other daemons and this daemon's index among all daemons, which
// determines the order of staggered reads. Every daemon sorts the list in the same
// way.
func (s *Syncer) SetPeers(peers []Peer, index int) {
	s.peers, s.index = peers, index
}

// Ready reports whether the daemon can serve: it has a current snapshot, and
// several peers were asked for a newer one. Without the second condition, a
// replaced host could start with the contents of a stale platform although its
// peers have a newer revision.
func (s *Syncer) Ready(now time.Time) bool {
	if s.current == 0 {
		return false
	}
	required := min(s.options.StartupPeers, len(s.peers))
	return s.peersTried || len(s.replied) >= required || now.Sub(s.started) >= s.options.StartupTimeout
}

// Behind reports whether a revision above the current one is known.
func (s *Syncer) Behind() bool {
	return s.advertised > s.current || (s.manifest != nil && s.manifest.Revision > s.current)
}

// Resync makes the daemon ask its peers again as at startup. It is called after a
// pause of the process, when the current revision may be long outdated.
func (s *Syncer) Resync(now time.Time) {
	s.started = now
	s.replied = map[string]bool{}
	s.peersTried, s.peerRequests = false, 0
	s.askAt = now
	s.watchAt = now
}

// SetCurrent sets the current revision and its files after Store.Apply. If the
// folder was rejected, they are the previous ones; its manifest is dropped, so that
// the daemon does not read the rejected files in a loop but watches again.
func (s *Syncer) SetCurrent(revision uint64, files []File) {
	s.current = revision
	for _, file := range files {
		s.files[file.Name] = file
		s.digests[file.Name] = FileDigest(file)
	}
	if s.advertised <= revision {
		s.advertised = 0
	}
}

// ManifestReceived handles the platform's reply to a watch; manifest is nil if the
// watch timed out.
func (s *Syncer) ManifestReceived(now time.Time, manifest *Manifest) []SyncAction {
	s.watching = false
	s.backoff = 0
	if manifest == nil || manifest.Revision <= s.current {
		s.watchAt = now.Add(s.jitter(s.options.MinSpread))
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
	// Batches changes in quick succession: without the delay, each of them
	// would cost a call of every daemon.
	s.watchAt = now.Add(s.spreadWindow() + s.jitter(s.spreadWindow()))
	s.readAt = now.Add(s.readDelay())
	return s.Tick(now)
}

func (s *Syncer) readDelay() time.Duration {
	if len(s.missing) <= s.options.DirectReadFiles {
		return s.jitter(s.spreadWindow())
	}
	step := time.Duration(len(s.missing)) * s.options.StaggerPerFile
	delay := time.Duration(s.index)*step + s.jitter(step/2)
	if delay > s.options.MaxStagger {
		return s.options.MaxStagger + s.jitter(s.options.MaxStagger)
	}
	return delay
}

// spreadWindow returns the window over which all daemons read their changed files
// and renew their watches at PlatformCallRate in total.
func (s *Syncer) spreadWindow() time.Duration {
	files := min(len(s.missing), s.options.DirectReadFiles)
	calls := float64(len(s.peers)+1) * float64(files+1)
	return max(s.options.MinSpread, time.Duration(calls/s.options.PlatformCallRate*float64(time.Second)))
}

// jitter returns a random duration in [0, d).
func (s *Syncer) jitter(d time.Duration) time.Duration { return time.Duration(s.random() * float64(d)) }

// WatchFailed handles a failed watch.
func (s *Syncer) WatchFailed(now time.Time) []SyncAction {
	s.watching = false
	s.watchAt = now.Add(s.retryDelay())
	return s.Tick(now)
}

func (s *Syncer) retryDelay() time.Duration {
	s.backoff = min(max(2*s.backoff, s.options.Backoff), s.options.MaxBackoff)
	return time.Duration((0.5 + s.random()) * float64(s.backoff))
}

// FilesRead handles the files of a revision that were read from the platform.
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

// complete applies the manifest's files if all of them are present and match their
// digests, and drops the manifest.
func (s *Syncer) complete() []SyncAction {
	manifest := s.manifest
	var files []File
	for _, ref := range manifest.Files {
		file, ok := s.fetched[ref.Name]
		if !ok || FileDigest(file) != ref.Digest {
			s.manifest = nil
			return nil
		}
		files = append(files, file)
	}
	s.manifest, s.fetched = nil, nil
	return []SyncAction{ApplySnapshot{Revision: manifest.Revision, Files: files, Source: "platform"}}
}

// ReadFailed handles a failed read of files, including that of a revision that the
// platform has superseded.
func (s *Syncer) ReadFailed(now time.Time) []SyncAction {
	s.reading = false
	s.manifest = nil
	s.watchAt = now.Add(s.retryDelay())
	return s.Tick(now)
}

// RevisionAdvertised handles the revision in the envelope of a peer's message.
func (s *Syncer) RevisionAdvertised(now time.Time, peer Peer, revision uint64) []SyncAction {
	if revision <= s.current || revision <= s.advertised || peer.Address == "" {
		return nil
	}
	s.advertiser, s.advertised = peer, revision
	s.askAt = earlier(s.askAt, now.Add(time.Duration(s.random()*float64(s.options.PeerInterval/4))))
	return s.Tick(now)
}

// PeerReplied handles a peer's snapshot. revision is 0 if the peer has none above
// the requested one.
func (s *Syncer) PeerReplied(now time.Time, peer Peer, revision uint64, files []File) []SyncAction {
	s.askingPeer = false
	s.replied[peer.Name] = true
	s.askAt = now.Add(s.options.PeerInterval)
	var actions []SyncAction
	if revision > s.current {
		actions = append(actions, ApplySnapshot{Revision: revision, Files: files, Source: "peer " + peer.Name})
		s.dropManifest(revision)
	}
	return append(actions, s.Tick(now)...)
}

// dropManifest discards a manifest that a peer's snapshot makes obsolete.
func (s *Syncer) dropManifest(revision uint64) {
	if s.manifest != nil && s.manifest.Revision <= revision && !s.reading {
		s.manifest = nil
	}
}

// PeerFailed handles a failed request to a peer.
func (s *Syncer) PeerFailed(now time.Time, peer Peer) []SyncAction {
	s.askingPeer = false
	s.askAt = now.Add(s.options.PeerInterval)
	if peer.Name == s.advertiser.Name {
		s.advertised = 0
	}
	return s.Tick(now)
}

// Tick returns the actions that are due.
func (s *Syncer) Tick(now time.Time) []SyncAction {
	var actions []SyncAction
	if s.manifest != nil && s.manifest.Revision <= s.current && !s.reading {
		s.manifest = nil
	}
	if !s.watching && s.manifest == nil && !now.Before(s.watchAt) {
		s.watching = true
		actions = append(actions, WatchPlatform{Above: s.current})
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
	return []SyncAction{AskPeer{Peer: peer, Above: s.current}}
}

// choosePeer returns the peer that advertised a newer revision. Without one, it
// returns a random peer while this daemon is starting or behind.
func (s *Syncer) choosePeer(now time.Time) (Peer, bool) {
	if s.advertised > s.current {
		return s.advertiser, true
	}
	if len(s.peers) == 0 || (s.Ready(now) && !s.Behind()) {
		return Peer{}, false
	}
	s.peerRequests++
	if s.peerRequests > 2*len(s.peers) {
		s.peersTried = true
	}
	// Random choice spreads a snapshot by gossip. If all daemons went through
	// the list in order, most would ask peers that don't have it either.
	return s.peers[min(int(s.random()*float64(len(s.peers))), len(s.peers)-1)], true
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// FileDigest returns the SHA-256 sum of a file's content in lowercase hexadecimal,
// as in the platform's manifest.
func FileDigest(file File) string {
	sum := sha256.Sum256(file.Content)
	return hex.EncodeToString(sum[:])
}

package peerlink

import (
	"time"

	"arbutusdeck/core/peering"
)

// catchUpDelay is the delay before an entry that learns of a later view fetches it: the datagrams
// with the changes may still be arriving.
const catchUpDelay = 60 * time.Millisecond

// scheduleCatchUp schedules catchUp if a message advertises a later configuration or list of
// servers.
func (l *Link) scheduleCatchUp(m peering.Message) {
	version, revision := l.options.Status.Versions()
	if m.Version <= version && (m.Revision <= revision || !l.learnsServersFromPeers()) {
		return
	}
	l.mu.Lock()
	pending := l.catchUpPending
	l.catchUpPending = true
	l.mu.Unlock()
	if pending {
		return
	}
	time.AfterFunc(catchUpDelay, func() {
		l.mu.Lock()
		l.catchUpPending = false
		l.mu.Unlock()
		l.catchUp(time.Now())
	})
}

// learnsServersFromPeers reports whether this entry learns of servers from peers, because it does
// not read the store itself or can't.
func (l *Link) learnsServersFromPeers() bool {
	now := time.Now()
	return !l.options.Status.StoreState(now).Reads || l.options.Status.StoreUnavailable(now)
}

// catchUp fetches the view of a peer that is further ahead: the configuration always, the servers
// only if this entry does not read the store. If the view does not arrive soon, another peer is
// asked as well.
func (l *Link) catchUp(now time.Time) {
	version, revision := l.options.Status.Versions()
	withServers := l.learnsServersFromPeers()
	l.mu.Lock()
	peer, ok := l.group.NewerPeer(now, version, revision, withServers)
	if ok {
		l.group.BeginFetch(now, peer)
	}
	l.mu.Unlock()
	if !ok {
		return
	}
	time.AfterFunc(peering.FetchHedgeDelay, func() { l.catchUp(time.Now()) })
	go l.catchUpFrom(peer, withServers)
}

// catchUpFrom fetches the view of a peer, and that of another one if this fails.
func (l *Link) catchUpFrom(peer string, withServers bool) {
	err := l.fetch(peer, withServers)
	now := time.Now()
	l.mu.Lock()
	l.group.EndFetch(now, peer, err == nil)
	l.mu.Unlock()
	if err != nil {
		l.log.WithError(err).WithField("peer", peer).Warn("fetching a newer view from a peer failed")
		l.catchUp(now)
	}
}

package gateway

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uptrace/bunrouter"
	"gopkg.in/tomb.v2"

	"arbutusdeck/core/directory"
	"arbutusdeck/core/lifecycle"
	"arbutusdeck/core/peering"
	"arbutusdeck/core/wire"
)

const (
	// peerFetchTimeout bounds fetching the view of a peer.
	peerFetchTimeout = 1500 * time.Millisecond
	// peerDialTimeout bounds connecting for it.
	peerDialTimeout = 400 * time.Millisecond
	// storeOutageTolerance bounds the time for which the store may be unavailable before the
	// servers of a peer's view are applied as well.
	storeOutageTolerance = 300 * time.Millisecond
	// catchUpDelay is the delay before an entry that learns of a later view fetches it: the
	// datagrams with the changes may still be arriving.
	catchUpDelay = 60 * time.Millisecond
	// viewFile is the name of the view in a snapshot between entries.
	viewFile = "view.json"
)

// peerTransport exchanges messages and views with other entries.
type peerTransport struct {
	s      *Server
	conn   net.PacketConn
	dialer *wire.Dialer

	mu       sync.Mutex
	group    *peering.Group
	outbox   outbox
	fetching bool
	// views caches the encoded views.
	views viewCache
	// catchUpPending is set while a scheduled catchUp has not run.
	catchUpPending bool
	// placementReplies holds the pending placement requests to other zones, by dispatch ID.
	placementReplies map[string]placementReply

	// startedAt is the time at which this entry began to exchange messages. firstReadAt is the time at
	// which its first read of the store began; nil before and if it got the list from a peer.
	startedAt   time.Time
	firstReadAt atomic.Pointer[time.Time]

	// suspects are the entries that were suspect at the last heartbeat.
	suspects []string

	// addressesMu guards addresses, the resolved addresses of the peers.
	addressesMu sync.Mutex
	addresses   map[string]net.Addr
}

func newPeerTransport(s *Server, group *peering.Group) *peerTransport {
	return &peerTransport{s: s, group: group, dialer: wire.NewDialer("", peerDialTimeout), addresses: map[string]net.Addr{}, placementReplies: map[string]placementReply{}}
}

func (p *peerTransport) router() http.Handler {
	router := bunrouter.New()
	server := wire.NewPeerServer(p)
	router.POST(server.PathPrefix()+":method", bunrouter.HTTPHandler(server))
	return router
}

func (p *peerTransport) start(t *tomb.Tomb) error {
	conn, err := net.ListenPacket("udp", p.s.settings.PeerAddress)
	if err != nil {
		return fmt.Errorf("listening on %s for datagrams: %w", p.s.settings.PeerAddress, err)
	}
	p.conn, p.startedAt = conn, time.Now()
	t.Go(func() error { return p.receiveLoop(t) })
	t.Go(func() error { return p.heartbeatLoop(t) })
	t.Go(func() error {
		<-t.Dying()
		return conn.Close()
	})
	return nil
}

// greetDiscovered sends a message to newly discovered entries of this zone, and asks one of them for
// the members if no entry has sent them yet.
func (p *peerTransport) greetDiscovered(now time.Time, discovered []string) {
	p.mu.Lock()
	askTargets, notifyTargets := p.group.SplitGreetings(now, discovered)
	p.mu.Unlock()
	p.send(askTargets, peering.Message{WantsMembers: true})
	p.send(notifyTargets, peering.Message{})
}

// announce notifies all local entries that this one serves: from now on it records the dispatches
// that they report, and they send it the open ones.
func (p *peerTransport) announce() {
	p.mu.Lock()
	p.group.SetServing(true)
	p.mu.Unlock()
	p.broadcastState()
}

// broadcastState sends this entry's state to all local entries at once, without waiting for the
// next heartbeat.
func (p *peerTransport) broadcastState() {
	p.mu.Lock()
	local := p.group.KnownLocal()
	p.mu.Unlock()
	p.send(local, peering.Message{})
}

// stopServing excludes this entry from the delegates of its zone.
func (p *peerTransport) stopServing() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.group.SetServing(false)
}

// sendMembership sends the known members to an entry that asks for them.
func (p *peerTransport) sendMembership(now time.Time, target, zone string) {
	p.mu.Lock()
	members := p.group.MembersFor(now, zone)
	p.mu.Unlock()
	p.sendMembers([]string{target}, members)
}

// setSeeds replaces the seeds.
func (p *peerTransport) setSeeds(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.group.SetSeeds(time.Now(), seeds)
}

// setLocalRouting sets whether entries use only the servers of their own zone. While the list of
// servers is still growing, too few servers in a zone mean nothing yet: until its zone has enough,
// an entry of a large fleet would send heartbeats to all entries it knows.
func (p *peerTransport) setLocalRouting(enabled, growing bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if enabled || !growing || p.group.KnowsScope() {
		p.group.SetLocalRouting(enabled)
	}
}

// memberCount returns the number of entries that share the retry budgets.
func (p *peerTransport) memberCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.group.Size()
}

// timeToNextServing returns the time until another entry accepts requests; false if unknown.
func (p *peerTransport) timeToNextServing(now time.Time, limit time.Duration) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.group.TimeToNextServing(now, limit)
}

// send sends a message to the targets.
func (p *peerTransport) send(targets []string, m peering.Message) {
	if len(targets) == 0 {
		return
	}
	m.From, m.Zone, m.Incarnation = p.s.settings.PeerAddress, p.s.settings.Zone, p.s.incarnation
	m.Version, m.Revision = p.s.versions()
	m.Capacity = p.s.readOptions.Load().Capacity
	now := time.Now()
	state := p.s.storeState(now)
	m.SetStoreState(state)
	m.Stopping = p.s.stopping.Load() != nil
	m.Starting = p.s.manager.State() == lifecycle.Starting
	if m.Starting && !state.Reads {
		m.SetStartTimes(now, p.startedAt, p.firstReadAt.Load())
	}
	data, err := peering.Encode(m)
	if err != nil {
		p.s.log.WithError(err).Error("encoding a peer message failed")
		return
	}
	p.countSent(targets, m.Kind(), len(data)+datagramHeaders)
	for _, target := range targets {
		address, err := p.resolve(target)
		if err != nil {
			p.s.log.WithError(err).WithField("peer", target).Warn("resolving a peer address failed")
			continue
		}
		if _, err := p.conn.WriteTo(data, address); err != nil && !errors.Is(err, net.ErrClosed) {
			p.s.log.WithError(err).WithField("peer", target).Debug("sending a datagram to a peer failed")
		}
	}
}

// countSent counts a message to the targets, by the local or a remote zone.
func (p *peerTransport) countSent(targets []string, kind peering.Kind, bytes int) {
	remote := 0
	p.mu.Lock()
	for _, target := range targets {
		if zone := p.group.Zone(target); zone != "" && zone != p.s.settings.Zone {
			remote++
		}
	}
	p.mu.Unlock()
	if local := len(targets) - remote; local > 0 {
		p.s.traffic.add(direction{sent: true}, kind, local, local*bytes)
	}
	if remote > 0 {
		p.s.traffic.add(direction{sent: true, remote: true}, kind, remote, remote*bytes)
	}
}

// sendMembers sends lists of members to the targets.
func (p *peerTransport) sendMembers(targets []string, members []peering.ZoneMembers) {
	if len(targets) == 0 {
		return
	}
	for _, part := range peering.SplitMembers(members) {
		p.send(targets, peering.Message{Members: part})
	}
}

// resolve returns the socket address of a peer. Addresses are cached: each request is reported to
// all local entries three times.
func (p *peerTransport) resolve(target string) (net.Addr, error) {
	p.addressesMu.Lock()
	defer p.addressesMu.Unlock()
	if address, ok := p.addresses[target]; ok {
		return address, nil
	}
	address, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, err
	}
	p.addresses[target] = address
	return address, nil
}

func (p *peerTransport) receiveLoop(t *tomb.Tomb) error {
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := p.conn.ReadFrom(buffer)
		if err != nil {
			select {
			case <-t.Dying():
				return nil
			default:
				p.s.log.WithError(err).Warn("receiving datagrams from peers failed")
				continue
			}
		}
		m, err := peering.Decode(buffer[:n])
		if err != nil {
			p.s.log.WithError(err).Warn("decoding a peer message failed")
			continue
		}
		p.s.traffic.add(direction{remote: m.Zone != p.s.settings.Zone}, m.Kind(), 1, n+datagramHeaders)
		p.handleMessage(time.Now(), m)
	}
}

func (p *peerTransport) handleMessage(now time.Time, m peering.Message) {
	p.mu.Lock()
	sender := p.group.Observe(now, m)
	shouldRelay, redirects, mistakenForLocal := p.group.ShouldRelay(m), p.group.ShouldRedirect(now, m), p.group.MistakenForLocal(m)
	p.mu.Unlock()
	p.s.applyLoadUpdates(now, m, sender.Restarted)
	p.mergeRecords(now, m)
	if m.Update != nil {
		p.s.applyUpdate(*m.Update, m.From)
	}
	if m.PlacementReply != nil {
		p.deliverPlacement(*m.PlacementReply)
	}
	if m.PlacementRequest != nil {
		p.s.handlePlacementRequest(now, m.From, *m.PlacementRequest)
	}
	if shouldRelay {
		p.relay(m)
	}
	if redirects {
		p.sendRemote(now, 0, []string{m.From})
	}
	// Replies show which entries are up to date. When all entries start at once, none would
	// otherwise learn of most others until the next heartbeat, and all would choose the same
	// servers.
	p.greetDiscovered(now, sender.Discovered)
	p.scheduleCatchUp(m)
	switch {
	case m.WantsMembers:
		p.sendMembership(now, m.From, m.Zone)
	case sender.Joined && sender.Local, mistakenForLocal:
		p.send([]string{m.From}, peering.Message{})
	}
	if sender.NeedsSync {
		p.sendOpenDispatches(now, m.From)
	}
}

// suspectServers returns the servers that are owned by suspect entries; nil without suspects.
func (p *peerTransport) suspectServers(now time.Time, servers []directory.Server) map[string]bool {
	p.mu.Lock()
	suspects, all := p.group.Suspects(now)
	p.mu.Unlock()
	if len(suspects) == 0 {
		return nil
	}
	return peering.ServersOf(suspects, peering.Owners(all, directory.IncarnationIDs(servers)))
}

// scheduleCatchUp schedules catchUp if a message advertises a later configuration or list of
// servers.
func (p *peerTransport) scheduleCatchUp(m peering.Message) {
	version, revision := p.s.versions()
	if m.Version <= version && (m.Revision <= revision || !p.learnsServersFromPeers()) {
		return
	}
	p.mu.Lock()
	pending := p.catchUpPending
	p.catchUpPending = true
	p.mu.Unlock()
	if pending {
		return
	}
	time.AfterFunc(catchUpDelay, func() {
		p.mu.Lock()
		p.catchUpPending = false
		p.mu.Unlock()
		p.catchUp(time.Now())
	})
}

// learnsServersFromPeers reports whether this entry learns of servers from peers, because it does
// not read the store itself or can't.
func (p *peerTransport) learnsServersFromPeers() bool {
	now := time.Now()
	return !p.s.storeState(now).Reads || p.s.storeUnavailable(now)
}

// catchUp fetches the view of a peer that is further ahead: the configuration always, the servers
// only if this entry does not read the store.
func (p *peerTransport) catchUp(now time.Time) {
	version, revision := p.s.versions()
	withServers := p.learnsServersFromPeers()
	p.mu.Lock()
	peer, ok := p.group.NewerPeer(now, version, revision, withServers)
	ok = ok && !p.fetching
	p.fetching = p.fetching || ok
	p.mu.Unlock()
	if !ok {
		return
	}
	go func() {
		defer func() {
			p.mu.Lock()
			p.fetching = false
			p.mu.Unlock()
		}()
		if err := p.fetch(peer, withServers); err != nil {
			p.s.log.WithError(err).WithField("peer", peer).Warn("fetching a newer view from a peer failed")
		}
	}()
}

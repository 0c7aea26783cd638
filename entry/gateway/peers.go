package gateway

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/uptrace/bunrouter"
	"gopkg.in/tomb.v2"

	"arbutusdeck/core/directory"
	"arbutusdeck/core/lifecycle"
	"arbutusdeck/core/peering"
	"arbutusdeck/core/wire"
)

const (
	// peerFetchTimeout bounds the fetch of another entry's view.
	peerFetchTimeout = 1500 * time.Millisecond
	// peerDialTimeout bounds the connection for it.
	peerDialTimeout = 400 * time.Millisecond
	// storeSilence is how long the store may be away before the servers of a
	// peer's view are taken over as well.
	storeSilence = 300 * time.Millisecond
	// catchUpDelay is how long an entry that hears of a later view waits before it fetches
	// it: what a reader has told by datagrams may be on its way.
	catchUpDelay = 60 * time.Millisecond
	// viewFile names the view in a snapshot between entries.
	viewFile = "view.json"
)

// peerExchange carries messages between entries.
type peerExchange struct {
	s      *Server
	conn   net.PacketConn
	dialer *wire.Dialer

	mu       sync.Mutex
	group    *peering.Group
	outgoing outgoing
	fetching bool
	// views are the encoded ones of the last moment.
	views viewCache
	// behind says that a look at what others know is due.
	behind bool
	// asked are the questions to other zones that wait for their answers, by their tries.
	asked map[string]placeAnswer

	// silent are the entries that were not heard at the last heartbeat.
	silent []string

	// addressesMu guards addresses, the peers' addresses as the socket takes them.
	addressesMu sync.Mutex
	addresses   map[string]net.Addr
}

func newPeerExchange(s *Server, group *peering.Group) *peerExchange {
	return &peerExchange{s: s, group: group, dialer: wire.NewDialer("", peerDialTimeout), addresses: map[string]net.Addr{}, asked: map[string]placeAnswer{}}
}

func (p *peerExchange) router() http.Handler {
	router := bunrouter.New()
	server := wire.NewPeerServer(p)
	router.POST(server.PathPrefix()+":method", bunrouter.HTTPHandler(server))
	return router
}

func (p *peerExchange) start(t *tomb.Tomb) error {
	conn, err := net.ListenPacket("udp", p.s.settings.PeerAddress)
	if err != nil {
		return fmt.Errorf("listening on %s for datagrams: %w", p.s.settings.PeerAddress, err)
	}
	p.conn = conn
	t.Go(func() error { return p.receive(t) })
	t.Go(func() error { return p.heartbeats(t) })
	t.Go(func() error {
		<-t.Dying()
		return conn.Close()
	})
	return nil
}

// greet tells entries of this zone that were just found that this one is there, and asks one of them for the others if
// nobody has told them yet.
func (p *peerExchange) greet(now time.Time, found []string) {
	p.mu.Lock()
	asked, told := p.group.SplitGreetings(now, found)
	p.mu.Unlock()
	p.send(asked, peering.Message{WantsMembers: true})
	p.send(told, peering.Message{})
}

// announce tells all near entries at once that this one serves: from now on it can book what
// they tell it, and they tell it what is open.
func (p *peerExchange) announce() {
	p.mu.Lock()
	p.group.SetServing(true)
	p.mu.Unlock()
	p.tellState()
}

// tellState tells all near entries at once what this one is doing, without waiting for its turn to do so.
func (p *peerExchange) tellState() {
	p.mu.Lock()
	near := p.group.KnownLocal()
	p.mu.Unlock()
	p.send(near, peering.Message{})
}

// stop takes this entry out of those that speak for its zone.
func (p *peerExchange) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.group.SetServing(false)
}

// answer tells an entry that asks who runs.
func (p *peerExchange) answer(now time.Time, target, zone string) {
	p.mu.Lock()
	told := p.group.MembersFor(now, zone)
	p.mu.Unlock()
	p.sendMembers([]string{target}, told)
}

// seed takes in changed seeds.
func (p *peerExchange) seed(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.group.SetSeeds(time.Now(), seeds)
}

// divide sets whether entries keep to the servers of their own zone. While the list of servers still grows, too few of them
// say nothing yet: an entry of a large fleet would tell all that it knows of that it lives, until its zone has enough.
func (p *peerExchange) divide(divided, grows bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if divided || !grows || p.group.KnowsScope() {
		p.group.SetLocalRouting(divided)
	}
}

// size returns how many entries may spend a shared budget.
func (p *peerExchange) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.group.Size()
}

// nextServing is how long it takes until another entry takes requests.
func (p *peerExchange) nextServing(now time.Time, limit time.Duration) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.group.TimeToNextServing(now, limit)
}

// send sends a message to some entries.
func (p *peerExchange) send(targets []string, m peering.Message) {
	if len(targets) == 0 {
		return
	}
	m.From, m.Zone, m.Incarnation = p.s.settings.PeerAddress, p.s.settings.Zone, p.s.incarnation
	m.Version, m.Revision = p.s.versions()
	m.Capacity = p.s.readOptions.Load().Capacity
	m.SetStoreState(p.s.storeState(time.Now()))
	m.Stopping = p.s.stopping.Load() != nil
	m.Starting = p.s.manager.State() == lifecycle.Starting
	data, err := peering.Encode(m)
	if err != nil {
		p.s.log.WithError(err).Error("a message to the other entries could not be encoded")
		return
	}
	p.countSent(targets, m.Kind(), len(data)+datagramHeaders)
	for _, target := range targets {
		address, err := p.resolve(target)
		if err != nil {
			p.s.log.WithError(err).WithField("peer", target).Warn("a peer's address can't be read")
			continue
		}
		if _, err := p.conn.WriteTo(data, address); err != nil && !errors.Is(err, net.ErrClosed) {
			p.s.log.WithError(err).WithField("peer", target).Debug("a message to another entry was lost")
		}
	}
}

// countSent counts a message that goes to some entries.
func (p *peerExchange) countSent(targets []string, kind peering.Kind, bytes int) {
	far := 0
	p.mu.Lock()
	for _, target := range targets {
		if zone := p.group.Zone(target); zone != "" && zone != p.s.settings.Zone {
			far++
		}
	}
	p.mu.Unlock()
	if near := len(targets) - far; near > 0 {
		p.s.traffic.add(direction{sent: true}, kind, near, near*bytes)
	}
	if far > 0 {
		p.s.traffic.add(direction{sent: true, far: true}, kind, far, far*bytes)
	}
}

// sendMembers tells some entries of those that run.
func (p *peerExchange) sendMembers(targets []string, members []peering.ZoneMembers) {
	if len(targets) == 0 {
		return
	}
	for _, part := range peering.SplitMembers(members) {
		p.send(targets, peering.Message{Members: part})
	}
}

// resolve returns a peer's address as the socket takes it. It is read once: each request
// is told to all near entries three times.
func (p *peerExchange) resolve(target string) (net.Addr, error) {
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

func (p *peerExchange) receive(t *tomb.Tomb) error {
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := p.conn.ReadFrom(buffer)
		if err != nil {
			select {
			case <-t.Dying():
				return nil
			default:
				p.s.log.WithError(err).Warn("reading from other entries failed")
				continue
			}
		}
		m, err := peering.Decode(buffer[:n])
		if err != nil {
			p.s.log.WithError(err).Warn("a message of another entry can't be read")
			continue
		}
		p.s.traffic.add(direction{far: m.Zone != p.s.settings.Zone}, m.Kind(), 1, n+datagramHeaders)
		p.take(time.Now(), m)
	}
}

func (p *peerExchange) take(now time.Time, m peering.Message) {
	p.mu.Lock()
	sender := p.group.Observe(now, m)
	passes, redirects, mistakes := p.group.ShouldRelay(m), p.group.ShouldRedirect(now, m), p.group.MistakenForLocal(m)
	p.mu.Unlock()
	p.s.takeNews(now, m, sender.Restarted)
	p.takeRecords(now, m)
	if m.Update != nil {
		p.s.takeUpdate(*m.Update, m.From)
	}
	if m.PlacementReply != nil {
		p.takePlace(*m.PlacementReply)
	}
	if m.PlacementRequest != nil {
		p.s.answerAsk(now, m.From, *m.PlacementRequest)
	}
	if passes {
		p.pass(m)
	}
	if redirects {
		p.sendFar(now, 0, []string{m.From})
	}
	// Answers tell who is up to date. Where all start at once, nobody would hear of most others until
	// the next heartbeat, and all would choose the same servers.
	p.greet(now, sender.Discovered)
	p.catchUpSoon(m)
	switch {
	case m.WantsMembers:
		p.answer(now, m.From, m.Zone)
	case sender.Joined && sender.Local, mistakes:
		p.send([]string{m.From}, peering.Message{})
	}
	if sender.NeedsSync {
		p.tellOpen(now, m.From)
	}
}

// unheard returns the servers that entries use of which nothing is heard; nil if all
// entries are heard.
func (p *peerExchange) unheard(now time.Time, servers []directory.Server) map[string]bool {
	p.mu.Lock()
	silent, all := p.group.Suspects(now)
	p.mu.Unlock()
	if len(silent) == 0 {
		return nil
	}
	return peering.ServersOf(silent, peering.Owners(all, directory.IncarnationIDs(servers)))
}

// catchUpSoon looks after a moment whether a view has to be fetched, if a message tells of
// a later one.
func (p *peerExchange) catchUpSoon(m peering.Message) {
	version, revision := p.s.versions()
	if m.Version <= version && (m.Revision <= revision || !p.takesServers()) {
		return
	}
	p.mu.Lock()
	due := p.behind
	p.behind = true
	p.mu.Unlock()
	if due {
		return
	}
	time.AfterFunc(catchUpDelay, func() {
		p.mu.Lock()
		p.behind = false
		p.mu.Unlock()
		p.catchUp(time.Now())
	})
}

// takesServers says whether this entry learns of servers from others: it doesn't read the
// store itself, or can't.
func (p *peerExchange) takesServers() bool {
	now := time.Now()
	return !p.s.storeState(now).Reads || p.s.storeAway(now)
}

// catchUp takes over the view of a peer that knows more: the configuration always, the
// servers only if this entry doesn't read the store.
func (p *peerExchange) catchUp(now time.Time) {
	version, revision := p.s.versions()
	servers := p.takesServers()
	p.mu.Lock()
	peer, ok := p.group.NewerPeer(now, version, revision, servers)
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
		if err := p.fetch(peer, servers); err != nil {
			p.s.log.WithError(err).WithField("peer", peer).Warn("a newer view of another entry could not be fetched")
		}
	}()
}

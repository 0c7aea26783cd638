package peerlink

import (
	"fmt"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uptrace/bunrouter"
	"gopkg.in/tomb.v2"

	"arbutusdeck/core/peering"
	"arbutusdeck/core/wire"
)

// Options configure a Link.
type Options struct {
	// Address is this entry's peer address (TCP and UDP), Zone its availability zone. Incarnation
	// distinguishes its starts.
	Address, Zone, Incarnation string
	// Seeds are the peer addresses of a few entries. Some may be stale.
	Seeds   []string
	Log     *logrus.Entry
	Traffic *Traffic

	Status     Status
	Views      Views
	Loads      Loads
	Records    Records
	Placements Placements
}

// Link exchanges messages and views with other entries. It is safe for concurrent use. It calls no
// method of the interfaces in Options while it holds mu, so that their implementations may call the
// link under a lock of their own.
type Link struct {
	options Options
	log     *logrus.Entry
	traffic *Traffic
	conn    net.PacketConn
	dialer  *wire.Dialer
	// capacity is the rate of the host's network link in Mbit/s, as sent to the peers.
	capacity atomic.Int64

	mu     sync.Mutex
	group  *peering.Group
	outbox outbox
	// encodedViews caches the encoded views.
	encodedViews viewCache
	// catchUpPending is set while a scheduled catchUp has not run.
	catchUpPending bool
	// placementReplies holds the pending placement requests to other zones, by dispatch ID.
	placementReplies map[string]placementReply

	// suspects are the entries that were suspect at the last heartbeat.
	suspects []string

	// decoding is held while a fetched view is decoded.
	decoding sync.Mutex

	// addressesMu guards addresses, the resolved addresses of the peers.
	addressesMu sync.Mutex
	addresses   map[string]net.Addr
}

// New returns a Link that sends and receives nothing before Start or Attach.
func New(options Options) *Link {
	group := peering.New(options.Address, options.Zone, options.Incarnation, options.Seeds)
	return &Link{options: options, log: options.Log, traffic: options.Traffic, group: group, dialer: wire.NewDialer("", peerDialTimeout, math.MaxInt32),
		addresses: map[string]net.Addr{}, placementReplies: map[string]placementReply{}}
}

// Router returns the handler of the views that other entries fetch.
func (l *Link) Router() http.Handler {
	router := bunrouter.New()
	server := wire.NewPeerServer(l)
	router.POST(server.PathPrefix()+":method", bunrouter.HTTPHandler(server))
	return router
}

// Start receives datagrams and sends heartbeats under the tomb. It returns an error if it can't
// listen on the address.
func (l *Link) Start(t *tomb.Tomb) error {
	conn, err := net.ListenPacket("udp", l.options.Address)
	if err != nil {
		return fmt.Errorf("listening on %s for datagrams: %w", l.options.Address, err)
	}
	l.Attach(conn)
	t.Go(func() error { return l.receiveLoop(t) })
	t.Go(func() error { return l.heartbeatLoop(t) })
	t.Go(func() error {
		<-t.Dying()
		return conn.Close()
	})
	return nil
}

// Attach sets the socket that messages are sent on. Start calls it; without Start the link sends, but
// receives only what is passed to HandleMessage.
func (l *Link) Attach(conn net.PacketConn) { l.conn = conn }

// greetDiscovered sends a message to newly discovered entries of this zone, and asks one of them for
// the members if no entry has sent them yet.
func (l *Link) greetDiscovered(now time.Time, discovered []string) {
	l.mu.Lock()
	askTargets, notifyTargets := l.group.SplitGreetings(now, discovered)
	l.mu.Unlock()
	l.send(askTargets, peering.Message{WantsMembers: true})
	l.send(notifyTargets, peering.Message{})
}

// sendMembership sends the known members to an entry that asks for them.
func (l *Link) sendMembership(now time.Time, target, zone string) {
	l.mu.Lock()
	members := l.group.MembersFor(now, zone)
	l.mu.Unlock()
	l.sendMembers([]string{target}, members)
}

func (l *Link) receiveLoop(t *tomb.Tomb) error {
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := l.conn.ReadFrom(buffer)
		if err != nil {
			select {
			case <-t.Dying():
				return nil
			default:
				l.log.WithError(err).Warn("receiving datagrams from peers failed")
				continue
			}
		}
		m, err := peering.Decode(buffer[:n])
		if err != nil {
			l.log.WithError(err).Warn("decoding a peer message failed")
			continue
		}
		l.traffic.add(direction{remote: m.Zone != l.options.Zone}, m.Kind(), 1, n+datagramHeaders)
		l.HandleMessage(time.Now(), m)
	}
}

// HandleMessage applies a message of another entry and replies to it where necessary.
func (l *Link) HandleMessage(now time.Time, m peering.Message) {
	l.mu.Lock()
	sender := l.group.Observe(now, m)
	shouldRelay, redirects, mistakenForLocal := l.group.ShouldRelay(m), l.group.ShouldRedirect(now, m), l.group.MistakenForLocal(m)
	l.mu.Unlock()
	l.options.Loads.ApplyLoadUpdates(now, m, sender.Restarted)
	l.mergeRecords(now, m)
	if m.Update != nil {
		l.options.Views.ApplyUpdate(*m.Update, m.From)
	}
	if m.PlacementReply != nil {
		l.deliverPlacement(*m.PlacementReply)
	}
	if m.PlacementRequest != nil {
		reply := l.options.Placements.Place(now, m.From, *m.PlacementRequest)
		l.send([]string{m.From}, peering.Message{PlacementReply: &reply})
	}
	if shouldRelay {
		l.relay(m)
	}
	if redirects {
		l.sendRemote(now, 0, []string{m.From})
	}
	// Replies show which entries are up to date. When all entries start at once, none would
	// otherwise learn of most others until the next heartbeat, and all would choose the same
	// servers.
	l.greetDiscovered(now, sender.Discovered)
	l.scheduleCatchUp(m)
	switch {
	case m.WantsMembers:
		l.sendMembership(now, m.From, m.Zone)
	case sender.Joined && sender.Local, mistakenForLocal:
		l.send([]string{m.From}, peering.Message{})
	}
	if sender.NeedsSync {
		l.sendOpenDispatches(now, m.From)
	}
}

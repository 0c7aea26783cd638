package peerlink

import (
	"errors"
	"net"
	"time"

	"arbutusdeck/core/peering"
)

// send sends a message to the targets.
func (l *Link) send(targets []string, m peering.Message) {
	if len(targets) == 0 {
		return
	}
	m.From, m.Zone, m.Incarnation = l.options.Address, l.options.Zone, l.options.Incarnation
	m.Version, m.Revision = l.options.Status.Versions()
	m.Capacity = int(l.capacity.Load())
	m.SetStoreState(l.options.Status.StoreState(time.Now()))
	m.Stopping = l.options.Status.Stopping()
	m.Starting = l.options.Status.Starting()
	data, err := peering.Encode(m)
	if err != nil {
		l.log.WithError(err).Error("encoding a peer message failed")
		return
	}
	l.countSent(targets, m.Kind(), len(data)+datagramHeaders)
	for _, target := range targets {
		address, err := l.resolve(target)
		if err != nil {
			l.log.WithError(err).WithField("peer", target).Warn("resolving a peer address failed")
			continue
		}
		if _, err := l.conn.WriteTo(data, address); err != nil && !errors.Is(err, net.ErrClosed) {
			l.log.WithError(err).WithField("peer", target).Debug("sending a datagram to a peer failed")
		}
	}
}

// countSent counts a message to the targets, by the local or a remote zone.
func (l *Link) countSent(targets []string, kind peering.Kind, bytes int) {
	remote := 0
	l.mu.Lock()
	for _, target := range targets {
		if zone := l.group.Zone(target); zone != "" && zone != l.options.Zone {
			remote++
		}
	}
	l.mu.Unlock()
	if local := len(targets) - remote; local > 0 {
		l.traffic.add(direction{sent: true}, kind, local, local*bytes)
	}
	if remote > 0 {
		l.traffic.add(direction{sent: true, remote: true}, kind, remote, remote*bytes)
	}
}

// SendUpdate sends changes of the store to the targets.
func (l *Link) SendUpdate(targets []string, update peering.Update) {
	l.send(targets, peering.Message{Update: &update})
}

// sendMembers sends lists of members to the targets.
func (l *Link) sendMembers(targets []string, members []peering.ZoneMembers) {
	if len(targets) == 0 {
		return
	}
	for _, part := range peering.SplitMembers(members) {
		l.send(targets, peering.Message{Members: part})
	}
}

// resolve returns the socket address of a peer. Addresses are cached: each request is reported to
// all local entries three times.
func (l *Link) resolve(target string) (net.Addr, error) {
	l.addressesMu.Lock()
	defer l.addressesMu.Unlock()
	if address, ok := l.addresses[target]; ok {
		return address, nil
	}
	address, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, err
	}
	l.addresses[target] = address
	return address, nil
}

package wire

import (
	"context"
	"crypto/subtle"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"arbutusdeck/core/callers"
	"arbutusdeck/core/config"
	"arbutusdeck/core/netopts"
	"arbutusdeck/core/quarantine"
	"arbutusdeck/core/responses"
)

// Authorization between daemons.
const (
	authHeader = "Authorization"
	authPrefix = "Bearer "
)

// Dialer makes the calls between daemons, authenticated by the shared secret.
type Dialer struct {
	// http is for streams, the others for calls with replies of different sizes.
	http, calls, snapshots, exchanges *http.Client

	connections *netopts.LimitedDialer
	secret      string

	mu    sync.Mutex
	hosts map[string]HostDaemon
}

// NewDialer returns a dialer. dialTimeout bounds the opening of a connection, maxConnections the number of open ones, of
// which a quarter may be idle.
func NewDialer(secret string, dialTimeout time.Duration, maxConnections int) *Dialer {
	connections := netopts.NewLimitedDialer(&netopts.Dialer{Dialer: net.Dialer{KeepAliveConfig: netopts.KeepAlive, Control: netopts.ReceiveControl(callers.ServerReceiveBytes, netopts.Control)}, RunTimeout: dialTimeout})
	connections.SetLimit(maxConnections)
	transport := responses.NewTransport(&http.Transport{
		DialContext:           connections.DialContext,
		MaxIdleConns:          max(1, maxConnections/4),
		MaxIdleConnsPerHost:   64,
		IdleConnTimeout:       90 * time.Second,
		DisableCompression:    true,
		ExpectContinueTimeout: time.Second,
	})
	streams := authorized{transport, secret}
	return &Dialer{http: &http.Client{Transport: streams}, calls: newCaller(streams, maxReply), snapshots: newCaller(streams, maxSnapshotReply),
		exchanges: newCaller(streams, maxExchangeReply), connections: connections, secret: secret, hosts: map[string]HostDaemon{}}
}

// Limits of the replies of daemons, in bytes.
const (
	// maxReply is for calls of host daemons. The largest reply has an answer that was kept under an idempotency key.
	maxReply = 64 << 10
	// maxSnapshotReply is for a configuration, or a view of entries.
	maxSnapshotReply = 8 << 20
	// maxExchangeReply is for the records of a quarantine.
	maxExchangeReply = 4 << 20
)

// newCaller returns a client for calls whose replies are bounded.
func newCaller(next http.RoundTripper, most int64) *http.Client {
	return &http.Client{Transport: boundedReplies{next, most}}
}

// boundedReplies fails the reading of a larger reply. The generated clients read whatever comes.
type boundedReplies struct {
	next http.RoundTripper
	most int64
}

func (b boundedReplies) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := b.next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	response.Body = http.MaxBytesReader(nil, response.Body, b.most)
	return response, nil
}

// authorized adds the daemons' credential to each call.
type authorized struct {
	next   http.RoundTripper
	secret string
}

func (a authorized) RoundTrip(request *http.Request) (*http.Response, error) {
	request = request.Clone(request.Context())
	request.Header.Set(authHeader, authPrefix+a.secret)
	return a.next.RoundTrip(request)
}

// Connections returns the number of open connections.
func (d *Dialer) Connections() int64 { return d.connections.Open() }

// HTTP returns the client for answer streams.
func (d *Dialer) HTTP() *http.Client { return d.http }

// maxClients bounds the cached twirp clients.
const maxClients = 4096

// Host returns the twirp client of the host daemon at an address.
func (d *Dialer) Host(address string) HostDaemon {
	d.mu.Lock()
	defer d.mu.Unlock()
	client := d.hosts[address]
	if client == nil {
		if len(d.hosts) >= maxClients {
			clear(d.hosts)
		}
		client = NewHostDaemonProtobufClient("http://"+address, d.calls)
		d.hosts[address] = client
	}
	return client
}

// peerTimeout bounds a call to a peer.
const peerTimeout = 3 * time.Second

// FetchSnapshot asks a peer for a snapshot above a revision.
func (d *Dialer) FetchSnapshot(ctx context.Context, peer config.Peer, above uint64) (uint64, []config.File, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := NewPeerProtobufClient("http://"+peer.Address, d.snapshots).Snapshot(ctx, &SnapshotRequest{AboveRevision: above})
	if err != nil {
		return 0, nil, fmt.Errorf("peer %s: %w", peer.Name, err)
	}
	if !reply.Present {
		return 0, nil, nil
	}
	return reply.Revision, ToFiles(reply.Files), nil
}

// ExchangeQuarantine sends another entry the records of requests under which servers have crashed,
// and returns the records of that entry.
func (d *Dialer) ExchangeQuarantine(ctx context.Context, peer config.Peer, envelope *Envelope, records []quarantine.Record) ([]quarantine.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := NewEntryProtobufClient("http://"+peer.Address, d.exchanges).Quarantine(ctx, &QuarantineExchange{Envelope: envelope, Records: fromRecords(records)})
	if err != nil {
		return nil, fmt.Errorf("peer %s: %w", peer.Name, err)
	}
	return toRecords(reply.Records), nil
}

// Authorize lets only daemons that know the secret through.
func Authorize(secret string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !BearerMatches(r, secret) {
			http.Error(w, "unauthorized", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// BearerMatches compares the request's bearer token with the expected one in
// constant time.
func BearerMatches(r *http.Request, expected string) bool {
	token, ok := strings.CutPrefix(r.Header.Get(authHeader), authPrefix)
	return ok && subtle.ConstantTimeCompare([]byte(token), []byte(expected)) == 1
}

// PeerServer answers other daemons' questions for the configuration.
type PeerServer struct {
	Store    *config.Store
	Envelope func() *Envelope
}

// Snapshot returns the configuration in force if it is above the asked revision.
func (s *PeerServer) Snapshot(_ context.Context, request *SnapshotRequest) (*SnapshotReply, error) {
	revision, files := s.Store.Files()
	reply := &SnapshotReply{Envelope: s.Envelope(), Revision: revision}
	if revision > request.AboveRevision {
		reply.Present = true
		reply.Digest = s.Store.Digest()
		reply.Files = FromFiles(files)
	}
	return reply, nil
}

// EntryServer answers other entries.
type EntryServer struct {
	Envelope func() *Envelope
	// Exchange merges the records of another entry of requests under which servers have crashed,
	// and returns the records of this one.
	Exchange func(received []quarantine.Record) []quarantine.Record
}

// Quarantine exchanges the quarantine records of two entries.
func (s *EntryServer) Quarantine(_ context.Context, received *QuarantineExchange) (*QuarantineExchange, error) {
	return &QuarantineExchange{Envelope: s.Envelope(), Records: fromRecords(s.Exchange(toRecords(received.Records)))}, nil
}

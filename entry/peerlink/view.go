package peerlink

import (
	"context"
	"fmt"
	"time"

	"arbutusdeck/core/config"
	"arbutusdeck/core/directory"
	"arbutusdeck/core/evacuation"
	"arbutusdeck/core/routes"
	"arbutusdeck/core/wire"
)

const (
	// FetchTimeout bounds fetching the view of a peer.
	FetchTimeout = 1500 * time.Millisecond
	// peerDialTimeout bounds connecting for it.
	peerDialTimeout = 400 * time.Millisecond
	// viewFile is the name of the view in a snapshot between entries.
	viewFile = "view.json"
)

// View is the state that entries fetch from each other: configuration, servers and evacuations.
type View struct {
	Definition *routes.Definition `json:"definition,omitempty"`
	Servers    []directory.Server `json:"servers"`
	Left       map[string]uint64  `json:"left"`
	// Evacuations is nil in views of versions that do not know them.
	Evacuations []evacuation.State `json:"evacuations"`
	Revision    uint64             `json:"revision"`
}

func (l *Link) fetch(peer string, withServers bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), FetchTimeout)
	defer cancel()
	version, _ := l.options.Status.Versions()
	_, files, err := l.dialer.FetchSnapshot(ctx, config.Peer{Name: peer, Address: peer}, version)
	if err != nil {
		return err
	}
	for _, file := range files {
		if file.Name != viewFile {
			continue
		}
		v, err := l.decode(file.Content)
		if err != nil {
			return fmt.Errorf("decoding the view of %s: %w", peer, err)
		}
		l.traffic.viewsFetched.Inc(1)
		l.mu.Lock()
		remote := l.group.Zone(peer) != l.options.Zone
		l.mu.Unlock()
		l.traffic.add(direction{remote: remote}, kindView, 1, len(file.Content))
		l.options.Views.ApplyView(v, peer, withServers)
	}
	return nil
}

// decode decodes a view, one at a time: each may take many times its compressed size.
func (l *Link) decode(content []byte) (View, error) {
	l.decoding.Lock()
	defer l.decoding.Unlock()
	return decodeView(content)
}

// Snapshot returns this entry's view to another one, without the configuration if that entry has
// it.
func (l *Link) Snapshot(_ context.Context, request *wire.SnapshotRequest) (*wire.SnapshotReply, error) {
	version, revision := l.options.Status.Versions()
	key := viewKey{version: version, revision: revision, hasConfiguration: version > request.AboveRevision}
	content, err := l.encodedViews.get(time.Now(), key, func() View { return l.options.Views.View(request.AboveRevision) })
	if err != nil {
		return nil, fmt.Errorf("the view can't be encoded: %w", err)
	}
	return &wire.SnapshotReply{Present: true, Revision: version, Files: wire.FromFiles([]config.File{{Name: viewFile, Content: content}})}, nil
}

// FetchFrom fetches and applies the view of an entry of the zone; false if that fails.
func (l *Link) FetchFrom(source string) bool {
	if err := l.fetch(source, true); err != nil {
		l.log.WithError(err).WithField("peer", source).Warn("fetching the view of a local peer failed")
		return false
	}
	return true
}

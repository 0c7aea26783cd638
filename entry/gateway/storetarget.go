package gateway

import (
	"arbutusdeck/core/directory"
	"arbutusdeck/core/lifecycle"
	"arbutusdeck/platform"
)

// storeTarget implements storeread.Target with the state of a Server.
type storeTarget struct{ s *Server }

func (t storeTarget) Position() uint64 { return t.s.position() }

func (t storeTarget) Version() uint64 {
	version, _ := t.s.versions()
	return version
}

func (t storeTarget) ResetPosition() { t.s.resetPosition() }

func (t storeTarget) Advance(revision uint64) {
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	t.s.advance(revision)
}

func (t storeTarget) ApplyChanges(changes platform.Changes, source string) {
	t.s.applyChanges(changes, source)
}

func (t storeTarget) ReplaceServers(servers platform.Changes, afterOutage bool) {
	t.s.replaceServers(servers, afterOutage)
}

func (t storeTarget) ReplaceEvacuations(listed platform.Changes) { t.s.replaceEvacuations(listed) }

func (t storeTarget) Rows(ids []string) ([]directory.Server, []directory.Tombstone) {
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	return t.s.directory.Rows(ids)
}

func (t storeTarget) ServeWhenReady() { t.s.serveWhenReady() }

func (t storeTarget) Starting() bool { return t.s.manager.State() == lifecycle.Starting }

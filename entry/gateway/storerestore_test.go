package gateway

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// The store is restored from a backup. What it has lost stays in use: a server added since, a
// removed one and a configuration. Its revisions are assigned again; changes made then are applied
// all the same.
func TestAStoreRestoredFromABackup(t *testing.T) {
	for name, passes := range map[string]bool{"it is read at once": false, "it has passed its revisions again": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestbed(t)
			w.configure(nil)
			stays, leaves := w.worker("stays", "plain", nil), w.worker("leaves", "plain", nil)
			s := w.serve()
			w.eventually("both are known", func() bool { return len(w.availableServers(s, "plain")) == 2 })
			old := w.store.Backup()
			w.configure(nil)
			key, _ := leaves.Row("")
			w.store.Remove(key)
			comes := w.worker("comes", "plain", nil)
			after := func() bool {
				return w.hasPlainServers(s, "comes", "stays") && s.table.Load().Version() == uint64(w.version)
			}
			w.eventually("the changes are known", after)
			before := s.position()
			w.store.Restore(old, func(put func(string, any)) {
				if !passes {
					return
				}
				put(stays.Row("draining"))
				for range 20 {
					put("other/key", nil)
				}
			})
			w.eventually("the restore is known", func() bool { return s.position() > before })
			if passes {
				require.True(t, w.hasPlainServers(s, "comes"), "a rewritten row applies")
				w.store.Put(stays.Row("ready"))
			} else {
				require.True(t, after(), "what it has lost stays in use")
			}
			w.store.Put(comes.Row("ready"))
			w.store.Put(stays.Row("draining"))
			w.worker("new", "plain", nil)
			w.configure(nil)
			w.eventually("later changes apply", func() bool {
				return w.hasPlainServers(s, "comes", "new") && s.table.Load().Version() == uint64(w.version)
			})
		})
	}
}

// The store is restored from a backup, and a server that it has lost does not write its row again,
// since it has exited. It is kept only for the time in which running servers rewrite their rows. A
// removed server is used again once its row is written anew.
func TestAServerMissingFromARestoredStore(t *testing.T) {
	w := newTestbed(t)
	w.configure(nil)
	left := w.worker("left", "plain", nil)
	w.worker("stays", "plain", nil)
	s := w.serve()
	old := w.store.Backup()
	key, _ := left.Row("")
	w.store.Remove(key)
	w.worker("ends", "plain", nil)
	w.eventually("the changes are known", func() bool { return w.hasPlainServers(s, "ends", "stays") })
	w.store.Restore(old, nil)
	w.eventually("the exited one is removed", func() bool { return w.hasPlainServers(s, "stays") })
	w.store.Put(left.Row("ready"))
	w.eventually("the removed one is back", func() bool { return w.hasPlainServers(s, "left", "stays") })
}

// hasPlainServers reports whether an entry uses exactly these servers of the plain service, in this
// order.
func (w *testbed) hasPlainServers(s *Server, ids ...string) bool {
	var known []string
	for _, server := range w.availableServers(s, "plain") {
		known = append(known, server.ID)
	}
	return slices.Equal(known, ids)
}

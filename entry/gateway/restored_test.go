package gateway

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// The store comes back from an older copy. What it has lost stays in force: a server that has come since, one
// that has left since and a configuration. Its revisions are given out again; changes that are made then are
// taken in all the same.
func TestAStoreThatComesBackFromAnOlderCopy(t *testing.T) {
	for name, passes := range map[string]bool{"it is read at once": false, "it has passed its revisions again": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t)
			w.configure(nil)
			stays, leaves := w.worker("stays", "plain", nil), w.worker("leaves", "plain", nil)
			s := w.serve()
			w.eventually("both are known", func() bool { return len(w.available(s, "plain")) == 2 })
			old := w.store.Backup()
			w.configure(nil)
			key, _ := leaves.Row("")
			w.store.Remove(key)
			comes := w.worker("comes", "plain", nil)
			after := func() bool {
				return w.knows(s, "comes", "stays") && s.table.Load().Version() == uint64(w.version)
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
			w.eventually("the store's return is known", func() bool { return s.position() > before })
			if passes {
				require.True(t, w.knows(s, "comes"), "what was written again counts")
				w.store.Put(stays.Row("ready"))
			} else {
				require.True(t, after(), "what it has lost stays")
			}
			w.store.Put(comes.Row("ready"))
			w.store.Put(stays.Row("draining"))
			w.worker("new", "plain", nil)
			w.configure(nil)
			w.eventually("what changes then is taken in", func() bool {
				return w.knows(s, "comes", "new") && s.table.Load().Version() == uint64(w.version)
			})
		})
	}
}

// The store comes back from an older copy, and a server that it has lost is not written again: it has ended.
// It is given the time in which living ones are back, and no more. One that had left is back once it is written
// anew.
func TestAServerThatARestoredStoreHasLost(t *testing.T) {
	w := newWorld(t)
	w.configure(nil)
	left := w.worker("left", "plain", nil)
	w.worker("stays", "plain", nil)
	s := w.serve()
	old := w.store.Backup()
	key, _ := left.Row("")
	w.store.Remove(key)
	w.worker("ends", "plain", nil)
	w.eventually("the changes are known", func() bool { return w.knows(s, "ends", "stays") })
	w.store.Restore(old, nil)
	w.eventually("the one that has ended is gone", func() bool { return w.knows(s, "stays") })
	w.store.Put(left.Row("ready"))
	w.eventually("the one that had left is back", func() bool { return w.knows(s, "left", "stays") })
}

// knows says whether an entry uses just these servers of the plain service, given in their order.
func (w *world) knows(s *Server, ids ...string) bool {
	var known []string
	for _, server := range w.available(s, "plain") {
		known = append(known, server.ID)
	}
	return slices.Equal(known, ids)
}

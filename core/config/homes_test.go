package config

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"arbutusdeck/core/execution"
)

// TestMain fixes the seed: the same steps are drawn in every run.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// homeWorld is one home slot that operators move between three servers, while
// daemons restart under whatever revision a stale platform shows them.
type homeWorld struct {
	now       time.Time
	revisions []*Snapshot
	holder    string
	former    []string
	retired   []string
	daemons   map[string]*homeDaemon
	runs      map[string]int
	keys      []execution.Key
	attempts  int
}

type homeDaemon struct {
	revision uint64
	homes    *HomeSlots
	ledger   *execution.Ledger
}

var homeServers = []string{"a", "b", "c"}

func newHomeWorld(t require.TestingT) *homeWorld {
	w := &homeWorld{now: time.Unix(10_000, 0), holder: "a", daemons: map[string]*homeDaemon{}, runs: map[string]int{}}
	w.publish(t)
	for _, server := range homeServers {
		w.start(server, 1)
	}
	return w
}

// publish writes the slot as the operators' rule has it: every former holder is
// named, and retired only once it is off for good.
func (w *homeWorld) publish(t require.TestingT) {
	text := fmt.Sprintf("servers: {c: {address: '10.0.0.3:7300', zone: z}}\nservices: {orders: {servers: [a, b, c], homes: {one: {server: %s, former: [%s], retired: [%s]}}}}",
		w.holder, strings.Join(w.former, ", "), strings.Join(w.retired, ", "))
	snapshot, err := Load(uint64(len(w.revisions)+1), folder(text))
	require.NoError(t, err)
	w.revisions = append(w.revisions, snapshot)
}

// start starts a daemon that believes a revision; a retired one stays off.
func (w *homeWorld) start(server string, revision uint64) {
	if slices.Contains(w.retired, server) {
		return
	}
	options := execution.DefaultLedgerOptions()
	options.Server, options.Incarnation, options.Began = server, execution.Incarnation(server), w.now
	d := &homeDaemon{homes: NewHomeSlots(server)}
	d.ledger = execution.NewLedger(options, d.homes)
	w.daemons[server] = d
	w.adopt(server, revision)
}

func (w *homeWorld) adopt(server string, revision uint64) {
	d := w.daemons[server]
	if d == nil || revision <= d.revision {
		return
	}
	d.revision = revision
	d.homes.Apply(w.now, w.revisions[revision-1])
}

// offer sends a key to a daemon, as an entry with any view of the fleet might.
func (w *homeWorld) offer(server string, key execution.Key) {
	d := w.daemons[server]
	if d == nil {
		return
	}
	w.attempts++
	id := execution.AttemptID(fmt.Sprint("x", w.attempts))
	result := d.ledger.Offer(w.now, execution.Offer{Attempt: id, Target: execution.Incarnation(server), Workspace: "w", Service: "orders", Key: key,
		Expires: w.now.Add(time.Second)}, func() *execution.Refusal { return nil })
	if result.Verdict != execution.Accepted {
		return
	}
	_, refusal := d.ledger.OpenStream(w.now, id, execution.Incarnation(server))
	if refusal == nil && d.ledger.Start(id) {
		w.runs[key.ID]++
		d.ledger.Finish(w.now, id, execution.Finished, execution.Answer{})
	}
}

// Operators move a home slot and keep to their rule; daemons restart under old
// revisions, callers resend the same keys through entries with any view. No key
// runs twice.
func TestMovedHomesRunAKeyOnce(t *testing.T) {
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newHomeWorld(t)
		server := rapid.SampledFrom(homeServers)
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0: // move the slot to a server that has never held it
				to := server.Draw(t, "to")
				if to != w.holder && !slices.Contains(w.former, to) {
					w.former = append(w.former, w.holder)
					w.holder = to
					w.publish(t)
				}
			case 1: // switch a former holder off for good, and say so
				for _, former := range w.former {
					if !slices.Contains(w.retired, former) {
						delete(w.daemons, former)
						w.retired = append(w.retired, former)
						w.publish(t)
						break
					}
				}
			case 2:
				w.adopt(server.Draw(t, "adopts"), uint64(len(w.revisions)))
			case 3:
				w.start(server.Draw(t, "restarts"), uint64(rapid.IntRange(1, len(w.revisions)).Draw(t, "stale revision")))
			case 4:
				w.keys = append(w.keys, execution.Key{ID: fmt.Sprint("k", len(w.keys)), Fingerprint: 1, Made: w.now})
			default:
				if len(w.keys) > 0 {
					w.offer(server.Draw(t, "asked"), rapid.SampledFrom(w.keys).Draw(t, "key"))
				}
			}
		}
		for key, runs := range w.runs {
			require.LessOrEqual(t, runs, 1, "key %s", key)
			accepted++
		}
	})
	require.Positive(t, accepted, "no key ever ran: the rules are too strict to prove anything")
}

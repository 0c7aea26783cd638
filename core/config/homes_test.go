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

// TestMain fixes the seed, so that every run draws the same steps.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// homeModel simulates a home slot that operators move between three servers, while
// daemons restart with any revision that a stale platform may serve.
type homeModel struct {
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

func newHomeModel(t require.TestingT) *homeModel {
	m := &homeModel{now: time.Unix(10_000, 0), holder: "a", daemons: map[string]*homeDaemon{}, runs: map[string]int{}}
	m.publish(t)
	for _, server := range homeServers {
		m.start(server, 1)
	}
	return m
}

// publish adds a revision that follows the operators' rule: it lists every former
// holder, as retired only once it is permanently shut down.
func (m *homeModel) publish(t require.TestingT) {
	text := fmt.Sprintf("servers: {c: {address: '10.0.0.3:7300', zone: z}}\nservices: {orders: {servers: [a, b, c], homes: {one: {server: %s, former: [%s], retired: [%s]}}}}",
		m.holder, strings.Join(m.former, ", "), strings.Join(m.retired, ", "))
	snapshot, err := Load(uint64(len(m.revisions)+1), folder(text))
	require.NoError(t, err)
	m.revisions = append(m.revisions, snapshot)
}

// start starts a daemon with a revision, unless its server is retired.
func (m *homeModel) start(server string, revision uint64) {
	if slices.Contains(m.retired, server) {
		return
	}
	options := execution.DefaultLedgerOptions()
	options.Server, options.Incarnation, options.StartedAt = server, execution.Incarnation(server), m.now
	d := &homeDaemon{homes: NewHomeSlots(server)}
	d.ledger = execution.NewLedger(options, d.homes)
	m.daemons[server] = d
	m.apply(server, revision)
}

func (m *homeModel) apply(server string, revision uint64) {
	d := m.daemons[server]
	if d == nil || revision <= d.revision {
		return
	}
	d.revision = revision
	d.homes.Apply(m.now, m.revisions[revision-1])
}

// offer sends a request with a key to a daemon, as an entry with any view of the
// fleet can.
func (m *homeModel) offer(server string, key execution.Key) {
	d := m.daemons[server]
	if d == nil {
		return
	}
	m.attempts++
	id := execution.AttemptID(fmt.Sprint("x", m.attempts))
	result := d.ledger.Offer(m.now, execution.Offer{Attempt: id, Target: execution.Incarnation(server), Workspace: "w", Service: "orders", Key: key,
		Expires: m.now.Add(time.Second)}, func() *execution.Refusal { return nil })
	if result.Verdict != execution.Accepted {
		return
	}
	_, refusal := d.ledger.OpenStream(m.now, id, execution.Incarnation(server))
	if refusal == nil && d.ledger.Start(id) {
		m.runs[key.ID]++
		d.ledger.Finish(m.now, id, execution.Finished, execution.Answer{})
	}
}

// Operators move a home slot according to their rule, daemons restart with old
// revisions, and callers retry the same keys through entries with any view of the
// fleet. No key may run twice.
func TestMovedHomeSlotRunsAKeyOnce(t *testing.T) {
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newHomeModel(t)
		server := rapid.SampledFrom(homeServers)
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0: // move the slot to a server that has never held it
				to := server.Draw(t, "to")
				if to != m.holder && !slices.Contains(m.former, to) {
					m.former = append(m.former, m.holder)
					m.holder = to
					m.publish(t)
				}
			case 1: // shut a former holder down permanently and list it as retired
				for _, former := range m.former {
					if !slices.Contains(m.retired, former) {
						delete(m.daemons, former)
						m.retired = append(m.retired, former)
						m.publish(t)
						break
					}
				}
			case 2:
				m.apply(server.Draw(t, "adopts"), uint64(len(m.revisions)))
			case 3:
				m.start(server.Draw(t, "restarts"), uint64(rapid.IntRange(1, len(m.revisions)).Draw(t, "stale revision")))
			case 4:
				m.keys = append(m.keys, execution.Key{ID: fmt.Sprint("k", len(m.keys)), Fingerprint: 1, CreatedAt: m.now})
			default:
				if len(m.keys) > 0 {
					m.offer(server.Draw(t, "asked"), rapid.SampledFrom(m.keys).Draw(t, "key"))
				}
			}
		}
		for key, runs := range m.runs {
			require.LessOrEqual(t, runs, 1, "key %s", key)
			accepted++
		}
	})
	require.Positive(t, accepted, "no key ever ran, so the test checked nothing")
}

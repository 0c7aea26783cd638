// Package matrix combines every fault with every step of a request, a reservation, an order and a
// snapshot, on the real cores in virtual time.
package matrix

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"arbutusdeck/core/execution"
	"arbutusdeck/proof/lab"
	"arbutusdeck/standin/engine"
)

// TestMain fixes the seed so that every run draws the same pairs of faults.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// steps are the messages whose first sending triggers a fault.
var steps = []string{"offer", "offer reply", "open", "first frame", "frame", "last frame", "reserve", "reserve reply", "probe reply"}

// fault injects a failure and clears it later.
type fault struct {
	name   string
	inject func(c *cell, m lab.Message) lab.MessageFault
	clear  func(c *cell)
}

// faultDuration is longer than every lease.
const faultDuration = 12 * time.Second

func noClear(*cell) {}

func (c *cell) parties(m lab.Message) (host *lab.Host, entry *lab.Entry) {
	for _, h := range c.lab.Hosts {
		if h.Name == m.From || h.Name == m.To {
			host = h
		}
	}
	for _, e := range c.lab.Entries {
		if e.Name == m.From || e.Name == m.To {
			entry = e
		}
	}
	return host, entry
}

func onHost(act func(c *cell, h *lab.Host)) func(c *cell, m lab.Message) lab.MessageFault {
	return func(c *cell, m lab.Message) lab.MessageFault {
		h, _ := c.parties(m)
		c.lab.After(0, func() { act(c, h) })
		return lab.MessageFault{}
	}
}

func onEntry(act func(c *cell, e *lab.Entry)) func(c *cell, m lab.Message) lab.MessageFault {
	return func(c *cell, m lab.Message) lab.MessageFault {
		if _, e := c.parties(m); e != nil {
			c.lab.After(0, func() { act(c, e) })
		}
		return lab.MessageFault{}
	}
}

func partition(forward, reverse bool) func(c *cell, m lab.Message) lab.MessageFault {
	return func(c *cell, m lab.Message) lab.MessageFault {
		if forward {
			c.lab.Partition(m.From, m.To)
		}
		if reverse {
			c.lab.Partition(m.To, m.From)
		}
		return lab.MessageFault{}
	}
}

func withMessageFault(f lab.MessageFault) func(*cell, lab.Message) lab.MessageFault {
	return func(*cell, lab.Message) lab.MessageFault { return f }
}

func (c *cell) restoreAll() {
	for _, h := range c.lab.Hosts {
		if !h.Alive() {
			h.Start()
		}
		h.Resume()
	}
	for _, e := range c.lab.Entries {
		if !e.Alive() {
			e.Start()
		}
		e.Resume()
	}
	c.lab.HealPartitions()
}

var faults = []fault{
	{"nothing", withMessageFault(lab.MessageFault{}), noClear},
	{"host killed", onHost(func(c *cell, h *lab.Host) { h.Kill() }), (*cell).restoreAll},
	{"host restarted at once", onHost(func(c *cell, h *lab.Host) { h.Kill(); h.Start() }), noClear},
	{"host frozen", onHost(func(c *cell, h *lab.Host) { h.Suspend() }), (*cell).restoreAll},
	{"host drains", onHost(func(c *cell, h *lab.Host) { c.drained = h; h.Drain() }), noClear},
	{"entry killed", onEntry(func(c *cell, e *lab.Entry) { e.Kill() }), (*cell).restoreAll},
	{"entry frozen", onEntry(func(c *cell, e *lab.Entry) { e.Suspend() }), (*cell).restoreAll},
	{"cut one way", partition(true, false), (*cell).restoreAll},
	{"cut the way back", partition(false, true), (*cell).restoreAll},
	{"cut both ways", partition(true, true), (*cell).restoreAll},
	{"message lost", withMessageFault(lab.MessageFault{Drop: true}), noClear},
	{"message doubled", withMessageFault(lab.MessageFault{Duplicate: true}), noClear},
	{"message late", withMessageFault(lab.MessageFault{Delay: 8 * time.Second}), noClear},
	{"message overtaken", withMessageFault(lab.MessageFault{Delay: 40 * time.Millisecond}), noClear},
	{"doubled and late", withMessageFault(lab.MessageFault{Duplicate: true, Delay: 6 * time.Second}), noClear},
}

// requestKind is a request template of the matrix.
type requestKind struct {
	name    string
	request lab.Request
	keyed   bool
}

var requestKinds = []requestKind{
	{"streamed", lab.Request{Kind: "short", Hall: lab.Hall, PromptTokens: 2000, AnswerTokens: 30, Repeatable: true, Deadline: 20 * time.Second}, false},
	{"whole", lab.Request{Kind: "short", Hall: lab.Hall, PromptTokens: 2000, AnswerTokens: 30, Repeatable: true, Buffered: true, Deadline: 20 * time.Second}, false},
	{"once", lab.Request{Kind: "short", Hall: lab.Hall, PromptTokens: 2000, AnswerTokens: 30, Deadline: 20 * time.Second}, false},
	{"plain call once", lab.Request{Service: lab.Service, Deadline: 20 * time.Second}, false},
	{"issued key", lab.Request{Service: lab.Service, Deadline: 8 * time.Second}, true},
	{"endless", lab.Request{Kind: "short", Hall: lab.Hall, PromptTokens: 2000, AnswerTokens: 20_000, Repeatable: true, Buffered: true, Deadline: 20 * time.Second}, false},
	{"engine group", lab.Request{Kind: "long", Hall: lab.Hall, PromptTokens: 600_000, AnswerTokens: 30, Repeatable: true, Buffered: true, Deadline: 4 * time.Minute}, false},
}

// cell is one run of the matrix.
type cell struct {
	lab      *lab.Lab
	kind     requestKind
	sent     []*lab.Submission
	injected int
	drained  *lab.Host
}

func newCell(k requestKind) *cell {
	spec := engine.DefaultSpec()
	site := lab.Deployment{Servers: 3, Entries: 2, Zones: 3, Slots: 8, Engine: spec, Groups: 1}
	c := &cell{kind: k}
	c.lab = lab.New(lab.Options{Seed: 1, Snapshot: lab.BuildSnapshot(site), Engine: spec, Delay: time.Millisecond, TokenFrames: true})
	return c
}

// armFaults injects each fault at its message: the first one of its step after skip others.
func (c *cell) armFaults(injections ...injection) {
	c.lab.Intercept = func(m lab.Message) lab.MessageFault {
		for i := range injections {
			s := &injections[i]
			if m.Kind != s.step || s.done {
				continue
			}
			s.seen++
			if s.seen <= s.skip {
				continue
			}
			s.done = true
			c.injected++
			c.lab.After(faultDuration, func() { s.fault.clear(c) })
			return s.fault.inject(c, m)
		}
		return lab.MessageFault{}
	}
}

type injection struct {
	step  string
	fault fault
	skip  int
	seen  int
	done  bool
}

// run submits the request and, if it has a key, sends it again through the other entry until one run
// has finished.
func (c *cell) run(injections ...injection) {
	c.lab.Run(2 * time.Second)
	request := c.kind.request
	request.Workspace = lab.Workspace
	if c.kind.keyed {
		host := c.lab.Hosts[0]
		request.Home = execution.Target{Server: host.Name, Incarnation: host.Core.Incarnation()}
		request.Key = execution.Key{ID: "key", Issued: true, Fingerprint: 1, CreatedAt: c.lab.Now}
	}
	c.armFaults(injections...)
	c.sent = append(c.sent, c.lab.Entries[0].Submit(request))
	for i := range 3 {
		c.lab.Run(7 * time.Second)
		if c.kind.keyed && !c.finished() {
			c.sent = append(c.sent, c.lab.Entries[(i+1)%2].Submit(request))
		}
	}
	c.lab.Run(request.Deadline + 40*time.Second)
}

func (c *cell) finished() bool {
	for _, s := range c.sent {
		if s.Conclusion != nil && s.Conclusion.Outcome == execution.Finished {
			return true
		}
	}
	return false
}

// countRuns counts the runs of a submission.
func (c *cell) countRuns(s *lab.Submission) int {
	count := 0
	for _, h := range c.lab.Hosts {
		for _, id := range s.Attempts {
			count += h.StartedRuns[id]
		}
	}
	return count
}

// check verifies every guarantee after a run.
func (c *cell) check(t require.TestingT) {
	total := 0
	for i, s := range c.sent {
		total += c.countRuns(s)
		require.False(t, s.Ended.IsZero(), "a request has no final response")
		require.LessOrEqual(t, s.Ended.Sub(s.Sent), s.Request().Deadline+faultDuration+time.Second, "the response came after the deadline")
		if s.Conclusion != nil {
			c.checkConclusion(t, i, s)
		}
	}
	if !c.kind.request.Repeatable {
		require.LessOrEqual(t, total, 1, "a request that may not be retried ran again")
	}
	for _, h := range c.lab.Hosts {
		require.Zero(t, h.UsedTokens(), "%s: engine memory is leaked", h.Name)
		require.Empty(t, h.Core.Memory().Leases, "%s: leases remain", h.Name)
	}
	c.checkDrained(t)
}

func (c *cell) checkConclusion(t require.TestingT, i int, s *lab.Submission) {
	switch s.Conclusion.Outcome {
	case execution.NotRun:
		earlier := c.sent[i : i+1]
		if c.kind.keyed {
			earlier = c.sent[:i+1]
		}
		for _, earlier := range earlier {
			require.Zero(t, c.countRuns(earlier), "notRun was reported for a request that ran")
		}
	case execution.Finished:
		require.Len(t, s.Answer, max(int(s.Request().AnswerTokens), 1), "the response is incomplete")
	}
	c.checkAnswer(t, s)
}

// checkAnswer requires that the response of a caller comes from one attempt of its own, in order and
// without gaps, even if it broke off.
func (c *cell) checkAnswer(t require.TestingT, s *lab.Submission) {
	if len(s.Answer) == 0 {
		return
	}
	slash := strings.LastIndexByte(s.Answer[0], '/')
	attempt := s.Answer[0][:slash]
	own := false
	for _, other := range c.sent {
		for _, id := range other.Attempts {
			own = own || string(id) == attempt && (other == s || c.kind.keyed)
		}
	}
	require.True(t, own, "the response belongs to another request: %s", attempt)
	for i, piece := range s.Answer {
		require.Equal(t, fmt.Sprintf("%s/%d", attempt, i+1), piece)
	}
}

// checkDrained requires that a draining server starts nothing that was offered after its notice. Every
// attempt is offered within seconds here, so nothing may start later.
func (c *cell) checkDrained(t require.TestingT) {
	drained := c.drained
	if drained == nil || !drained.Core.Draining() {
		return // no server drained, or another fault has restarted it
	}
	c.lab.Intercept = nil
	before := len(drained.StartedRuns)
	for i := range 4 {
		request := c.kind.request
		request.Workspace = lab.Workspace
		c.lab.Entries[i%2].Submit(request)
	}
	c.lab.Run(5 * time.Second)
	require.Len(t, drained.StartedRuns, before, "a draining server got new work")
}

// For every fault at every step of every request kind, the caller gets a correct final response in
// time, a request that may not be retried runs at most once, and no engine memory is leaked.
func TestFaultMatrix(t *testing.T) {
	t.Parallel()
	injected, cells := 0, 0
	outcomes := map[string]int{}
	for _, k := range requestKinds {
		for _, f := range faults {
			for _, step := range steps {
				t.Run(k.name+"/"+f.name+"/"+step, func(t *testing.T) {
					c := newCell(k)
					c.run(injection{step: step, fault: f})
					c.check(t)
					if f.name == "nothing" && k.name != "endless" {
						require.True(t, c.finished())
					}
					for _, sent := range c.sent {
						outcomes[outcomeOf(sent)]++
					}
					cells++
					injected += min(c.injected, 1)
				})
			}
		}
	}
	t.Logf("%d cells, the fault was injected in %d; outcomes of the callers: %v", cells, injected, outcomes)
}

func outcomeOf(s *lab.Submission) string {
	if s.Conclusion == nil {
		return "connection broken"
	}
	return s.Conclusion.Outcome.String()
}

// Two faults occur in the same run, the second at a later message.
func TestPairsOfFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		c := newCell(rapid.SampledFrom(requestKinds).Draw(t, "kind"))
		draw := func(name string) injection {
			return injection{step: rapid.SampledFrom(steps).Draw(t, name+" step"), fault: rapid.SampledFrom(faults).Draw(t, name),
				skip: rapid.IntRange(0, 3).Draw(t, name+" after")}
		}
		c.run(draw("first"), draw("second"))
		c.check(t)
	})
}

// Package matrix holds every fault against every step of the life of a request,
// a reservation, an order and a snapshot, on the real cores in virtual time.
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

// TestMain fixes the seed: the same pairs of faults are drawn in every run.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// A step is the message at whose first sending the fault strikes.
var steps = []string{"offer", "offer reply", "open", "first frame", "frame", "last frame", "reserve", "reserve reply", "probe reply"}

// fault is something that goes wrong, and the healing that follows later.
type fault struct {
	name   string
	strike func(c *cell, m lab.Message) lab.MessageFault
	heal   func(c *cell)
}

// faultTime is how long a fault lasts: longer than every lease.
const faultTime = 12 * time.Second

func none(*cell) {}

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

func cut(there, back bool) func(c *cell, m lab.Message) lab.MessageFault {
	return func(c *cell, m lab.Message) lab.MessageFault {
		if there {
			c.lab.Partition(m.From, m.To)
		}
		if back {
			c.lab.Partition(m.To, m.From)
		}
		return lab.MessageFault{}
	}
}

func fate(f lab.MessageFault) func(*cell, lab.Message) lab.MessageFault {
	return func(*cell, lab.Message) lab.MessageFault { return f }
}

func (c *cell) reviveAll() {
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
	{"nothing", fate(lab.MessageFault{}), none},
	{"host killed", onHost(func(c *cell, h *lab.Host) { h.Kill() }), (*cell).reviveAll},
	{"host restarted at once", onHost(func(c *cell, h *lab.Host) { h.Kill(); h.Start() }), none},
	{"host frozen", onHost(func(c *cell, h *lab.Host) { h.Suspend() }), (*cell).reviveAll},
	{"host drains", onHost(func(c *cell, h *lab.Host) { c.drained = h; h.Drain() }), none},
	{"entry killed", onEntry(func(c *cell, e *lab.Entry) { e.Kill() }), (*cell).reviveAll},
	{"entry frozen", onEntry(func(c *cell, e *lab.Entry) { e.Suspend() }), (*cell).reviveAll},
	{"cut one way", cut(true, false), (*cell).reviveAll},
	{"cut the way back", cut(false, true), (*cell).reviveAll},
	{"cut both ways", cut(true, true), (*cell).reviveAll},
	{"message lost", fate(lab.MessageFault{Drop: true}), none},
	{"message doubled", fate(lab.MessageFault{Duplicate: true}), none},
	{"message late", fate(lab.MessageFault{Delay: 8 * time.Second}), none},
	{"message overtaken", fate(lab.MessageFault{Delay: 40 * time.Millisecond}), none},
	{"doubled and late", fate(lab.MessageFault{Duplicate: true, Delay: 6 * time.Second}), none},
}

// kind is a sort of request.
type kind struct {
	name    string
	request lab.Request
	keyed   bool
}

var kinds = []kind{
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
	lab     *lab.Lab
	kind    kind
	sent    []*lab.Submission
	struck  int
	drained *lab.Host
}

func newCell(k kind) *cell {
	spec := engine.DefaultSpec()
	site := lab.Deployment{Servers: 3, Entries: 2, Zones: 3, Slots: 8, Engine: spec, Groups: 1}
	c := &cell{kind: k}
	c.lab = lab.New(lab.Options{Seed: 1, Snapshot: lab.BuildSnapshot(site), Engine: spec, Delay: time.Millisecond, TokenFrames: true})
	return c
}

// strike arms a fault for the nth message of a step.
func (c *cell) arm(strikes ...strike) {
	c.lab.Intercept = func(m lab.Message) lab.MessageFault {
		for i := range strikes {
			s := &strikes[i]
			if m.Kind != s.step || s.done {
				continue
			}
			s.seen++
			if s.seen <= s.skip {
				continue
			}
			s.done = true
			c.struck++
			c.lab.After(faultTime, func() { s.fault.heal(c) })
			return s.fault.strike(c, m)
		}
		return lab.MessageFault{}
	}
}

type strike struct {
	step  string
	fault fault
	skip  int
	seen  int
	done  bool
}

// run lets the callers do what callers do: submit, and for a key resend through
// the other entry until there is an answer.
func (c *cell) run(strikes ...strike) {
	c.lab.Run(2 * time.Second)
	request := c.kind.request
	request.Workspace = lab.Workspace
	if c.kind.keyed {
		host := c.lab.Hosts[0]
		request.Home = execution.Target{Server: host.Name, Incarnation: host.Core.Incarnation()}
		request.Key = execution.Key{ID: "key", Issued: true, Fingerprint: 1, Made: c.lab.Now}
	}
	c.arm(strikes...)
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

// starts counts the runs of a submission.
func (c *cell) starts(s *lab.Submission) int {
	count := 0
	for _, h := range c.lab.Hosts {
		for _, id := range s.Attempts {
			count += h.StartedRuns[id]
		}
	}
	return count
}

// check holds every promise against the run.
func (c *cell) check(t require.TestingT) {
	total := 0
	for i, s := range c.sent {
		total += c.starts(s)
		require.False(t, s.Ended.IsZero(), "a request has no final answer")
		require.LessOrEqual(t, s.Ended.Sub(s.Sent), s.Request().Deadline+faultTime+time.Second, "the answer came after the deadline")
		if s.Conclusion != nil {
			c.checkConclusion(t, i, s)
		}
	}
	if !c.kind.request.Repeatable {
		require.LessOrEqual(t, total, 1, "a request that may not be repeated ran again")
	}
	for _, h := range c.lab.Hosts {
		require.Zero(t, h.UsedTokens(), "%s: engine memory is lost", h.Name)
		require.Empty(t, h.Core.Memory().Leases, "%s: leases are left", h.Name)
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
			require.Zero(t, c.starts(earlier), "notRun was told of a request that ran")
		}
	case execution.Finished:
		require.Len(t, s.Answer, max(int(s.Request().AnswerTokens), 1), "the answer is not whole")
	}
	c.checkAnswer(t, s)
}

// checkAnswer: what a caller got comes from one attempt of its own, in order and
// without gaps, even if it broke off.
func (c *cell) checkAnswer(t require.TestingT, s *lab.Submission) {
	if len(s.Answer) == 0 {
		return
	}
	cutAt := strings.LastIndexByte(s.Answer[0], '/')
	attempt := s.Answer[0][:cutAt]
	own := false
	for _, other := range c.sent {
		for _, id := range other.Attempts {
			own = own || string(id) == attempt && (other == s || c.kind.keyed)
		}
	}
	require.True(t, own, "the answer belongs to another request: %s", attempt)
	for i, piece := range s.Answer {
		require.Equal(t, fmt.Sprintf("%s/%d", attempt, i+1), piece)
	}
}

// checkDrained: a leaving server starts nothing that was offered after its
// notice; here every attempt is offered within seconds, so nothing later starts.
func (c *cell) checkDrained(t require.TestingT) {
	drained := c.drained
	if drained == nil || !drained.Core.Draining() {
		return // none, or another fault has restarted it
	}
	c.lab.Intercept = nil
	before := len(drained.StartedRuns)
	for i := range 4 {
		request := c.kind.request
		request.Workspace = lab.Workspace
		c.lab.Entries[i%2].Submit(request)
	}
	c.lab.Run(5 * time.Second)
	require.Len(t, drained.StartedRuns, before, "a leaving server got new work")
}

// Every fault strikes at every step of every kind of request. Whatever happens,
// the caller gets a final answer in time that is true, nothing that may not be
// repeated runs twice, and no engine memory stays behind.
func TestFaultMatrix(t *testing.T) {
	t.Parallel()
	struck, cells := 0, 0
	outcomes := map[string]int{}
	for _, k := range kinds {
		for _, f := range faults {
			for _, step := range steps {
				t.Run(k.name+"/"+f.name+"/"+step, func(t *testing.T) {
					c := newCell(k)
					c.run(strike{step: step, fault: f})
					c.check(t)
					if f.name == "nothing" && k.name != "endless" {
						require.True(t, c.finished())
					}
					for _, sent := range c.sent {
						outcomes[outcomeOf(sent)]++
					}
					cells++
					struck += min(c.struck, 1)
				})
			}
		}
	}
	t.Logf("%d cells, the fault struck in %d; the callers saw %v", cells, struck, outcomes)
}

func outcomeOf(s *lab.Submission) string {
	if s.Conclusion == nil {
		return "connection broken"
	}
	return s.Conclusion.Outcome.String()
}

// Two faults strike in the same run, the second at a later message.
func TestPairsOfFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		c := newCell(rapid.SampledFrom(kinds).Draw(t, "kind"))
		draw := func(name string) strike {
			return strike{step: rapid.SampledFrom(steps).Draw(t, name+" step"), fault: rapid.SampledFrom(faults).Draw(t, name),
				skip: rapid.IntRange(0, 3).Draw(t, name+" after")}
		}
		c.run(draw("first"), draw("second"))
		c.check(t)
	})
}

package lab

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"arbutusdeck/core/backend"
	"arbutusdeck/core/config"
	"arbutusdeck/core/execution"
	"arbutusdeck/core/frontend"
	"arbutusdeck/core/membership"
	"arbutusdeck/core/routing"
	"arbutusdeck/core/scheduling"
	"arbutusdeck/core/wire"
)

// Timeouts of single calls, as in the daemons, and the interval of an entry's ticks.
const (
	offerTimeout  = 750 * time.Millisecond
	cancelTimeout = 2 * time.Second
	probeTimeout  = time.Second
	entryTick     = 100 * time.Millisecond
)

// Entry simulates one entry daemon.
type Entry struct {
	process
	Name string
	Core *frontend.Core

	lab *Lab
	// incarnation counts the starts of the daemon. Callbacks of earlier ones are dropped.
	incarnation   int
	pauseDetector *membership.PauseDetector
	openRequests  map[*Submission]bool
}

// Request is one caller's request. Lengths are in tokens.
type Request struct {
	Workspace    string
	Kind         string
	Hall         string
	Service      string
	PromptTokens int64
	AnswerTokens int64
	Prefix       uint64
	Repeatable   bool
	Buffered     bool
	Key          execution.Key
	// Home is the home of the idempotency key; empty for a request without one.
	Home     execution.Target
	Deadline time.Duration
	// Done is called once the request is concluded; it may be nil.
	Done func(*Submission)
}

// Submission is one request at one entry, with what its caller observed.
type Submission struct {
	Sent       time.Time
	FirstToken time.Time
	Ended      time.Time
	Conclusion *execution.Conclusion
	// Answer holds the payloads delivered to the caller, in order.
	Answer   []string
	Class    string
	Attempts []execution.AttemptID

	id      execution.RequestID
	number  int
	request Request
	core    *execution.Request
	entry   *Entry
	query   routing.Query
	groups  map[string]string
	// lastFrameAt is when the last frame or heartbeat of the stream arrived.
	lastFrameAt time.Time
	// idleTimeout is the time without a frame after which the stream counts as broken.
	idleTimeout time.Duration
	// streamAttempt is the attempt whose stream was opened last.
	streamAttempt execution.AttemptID
}

// ID returns the request's identifier.
func (s *Submission) ID() execution.RequestID { return s.id }

// Request returns the request as it was submitted.
func (s *Submission) Request() Request { return s.request }

func (s *Submission) pool() string { return s.query.Pool }

func newEntry(l *Lab, name string) *Entry {
	e := &Entry{Name: name, lab: l}
	e.Start()
	return e
}

// Start starts the daemon with a new, empty core.
func (e *Entry) Start() {
	e.incarnation++
	e.alive, e.suspended, e.deferred = true, false, nil
	options := frontend.DefaultOptions("", rand.New(rand.NewPCG(e.lab.random.Uint64(), 1)))
	options.Routing.Zone = e.lab.Snapshot.Entries[e.Name].Zone
	if e.lab.Routing != "" {
		options.Routing.Policy = e.lab.Routing
	}
	if e.lab.NoRetries {
		options.RetryBurst = 0
	}
	if e.lab.TuneEntry != nil {
		e.lab.TuneEntry(&options)
	}
	e.Core = frontend.New(options)
	e.Core.Configure(e.lab.Now, e.lab.Snapshot)
	e.pauseDetector = membership.NewPauseDetector(2 * time.Second)
	e.openRequests = map[*Submission]bool{}
	e.tick(e.incarnation, 0)
}

// Kill kills the daemon's process: its callers' connections break at once, hosts
// notice after the network delay.
func (e *Entry) Kill() {
	e.alive, e.deferred = false, nil
	for s := range e.openRequests {
		s.Ended = e.lab.Now
	}
	for _, h := range e.lab.Hosts {
		for _, s := range h.streams {
			if s.entry == e {
				e.lab.After(e.lab.Delay, func() { h.detach(s) })
			}
		}
	}
}

// Suspend stops the daemon's process until Resume, as SIGSTOP does.
func (e *Entry) Suspend() { e.suspended = true }

// Resume continues a suspended daemon. It detects the pause before it handles the
// events that arrived meanwhile.
func (e *Entry) Resume() {
	if !e.alive || !e.suspended {
		return
	}
	e.suspended = false
	e.detectPause()
	e.runDeferred()
}

func (e *Entry) detectPause() {
	if e.pauseDetector.Tick(e.lab.Now) > 0 {
		e.Core.ExpireAfterPause(e.lab.Now)
	}
}

func (e *Entry) tick(incarnation, count int) {
	if incarnation != e.incarnation || !e.alive {
		return
	}
	if !e.suspended {
		e.detectPause()
		for _, probe := range e.Core.ProbesDue(e.lab.Now, count%10 == 0) {
			e.probe(probe)
		}
		for _, s := range e.openByArrival() {
			if s.core.Streaming() && e.lab.Now.Sub(s.lastFrameAt) > s.idleTimeout {
				e.streamBroken(s, s.streamAttempt)
			}
		}
	}
	e.lab.After(entryTick, func() { e.tick(incarnation, count+1) })
}

// openByArrival returns the open requests in order of arrival. Map order would make
// runs of the same seed differ.
func (e *Entry) openByArrival() []*Submission {
	return slices.SortedFunc(maps.Keys(e.openRequests), func(a, b *Submission) int { return a.number - b.number })
}

type probeReply struct {
	incarnation execution.Incarnation
	draining    bool
	load        scheduling.Load
}

func (e *Entry) probe(p frontend.Probe) {
	e.Core.ProbeStarted(e.lab.Now, p.Server)
	h := e.lab.Host(p.Server)
	e.lab.call("probe", e.Name, h.Name, probeTimeout, func() any {
		return probeReply{h.Core.Incarnation(), h.Core.Draining(), h.Core.Load(e.lab.Now, p.Hall)}
	}, func(reply any, ok bool) {
		if !ok {
			e.Core.RecordFailure(e.lab.Now, p.Server, "")
			return
		}
		r := reply.(probeReply)
		e.Core.ObserveServer(e.lab.Now, p.Server, r.incarnation, r.draining)
		if p.Hall != "" {
			e.recordLoad(p.Hall, p.Server, r.load)
		}
	})
}

// recordLoad passes a load report to the core, unless IgnoreLoadReports is set.
func (e *Entry) recordLoad(pool, server string, load scheduling.Load) {
	if !e.lab.IgnoreLoadReports {
		e.Core.ObserveLoad(pool, server, e.toReport(load))
	}
}

func (e *Entry) toReport(load scheduling.Load) routing.Report {
	return wire.ToReport(e.lab.Now, wire.FromLoad(e.lab.Now, load), e.lab.Snapshot.ClassRank)
}

// Submit passes a request to the entry. A request that it refuses at once is concluded
// before Submit returns.
func (e *Entry) Submit(request Request) *Submission {
	l := e.lab
	number := l.NextSequence()
	s := &Submission{Sent: l.Now, id: execution.RequestID(fmt.Sprintf("q%d", number)), number: int(number), request: request, entry: e}
	if !e.alive {
		s.Ended = l.Now
		return s
	}
	s.Class, _ = l.Snapshot.ClassOf(request.PromptTokens)
	s.query = routing.Query{Pool: request.Hall, Rank: max(l.Snapshot.ClassRank(s.Class), 0),
		PromptTokens: request.PromptTokens, AnswerTokens: request.AnswerTokens, Prefix: request.Prefix}
	if request.Service != "" {
		s.query = routing.Query{Pool: config.ServicePool(request.Service), PromptTokens: 1}
	}
	s.core = execution.NewRequest(execution.RequestOptions{
		ID: s.id, Retryable: request.Repeatable, Buffered: request.Buffered, Key: request.Key, KeyFromCaller: !request.Key.None(),
		Deadline: l.Now.Add(request.Deadline), MaxResumes: execution.DefaultMaxResumes,
		NewAttempt: func() execution.AttemptID {
			id := execution.AttemptID(fmt.Sprintf("%s/a%d", s.id, len(s.Attempts)+1))
			s.Attempts = append(s.Attempts, id)
			return id
		},
		TakeRetry: e.Core.TakeRetry,
	})
	if refusal := e.admit(s); refusal != nil {
		e.conclude(s, execution.Conclusion{Outcome: execution.NotRun, Refusal: refusal})
		return s
	}
	e.openRequests[s] = true
	e.Core.CountRequest()
	l.After(request.Deadline, func() { e.runOrDefer(func() { e.handleEvent(s, execution.DeadlinePassed{}) }) })
	e.handleEvent(s, execution.RequestStarted{})
	return s
}

func (e *Entry) admit(s *Submission) *execution.Refusal {
	if s.request.Service == "" {
		placement, refusal := frontend.Place(e.lab.Snapshot, s.request.Hall, s.request.PromptTokens+s.request.AnswerTokens)
		if refusal != nil {
			return refusal
		}
		s.query.Pool, s.groups = placement.Pool, placement.Groups
	}
	return e.Core.Admit(e.lab.Now, s.request.Workspace, s.request.PromptTokens)
}

// handleEvent passes an event to the request's core and performs the resulting
// actions. It ignores events of concluded requests.
func (e *Entry) handleEvent(s *Submission, event execution.Event) {
	if !e.openRequests[s] {
		return
	}
	for _, action := range s.core.Step(e.lab.Now, event) {
		switch a := action.(type) {
		case execution.Pick:
			e.pick(s, a)
		case execution.SendOffer:
			e.sendOffer(s, a)
		case execution.OpenStream:
			e.openStream(s, a)
		case execution.SendCancel:
			e.sendCancel(s, a)
		case execution.Discard:
			if s.request.Buffered {
				s.Answer = nil
			}
		case execution.Deliver:
			e.deliver(s, a.Frame)
		case execution.Conclude:
			e.conclude(s, a.Conclusion)
		}
	}
}

func (e *Entry) pick(s *Submission, a execution.Pick) {
	if s.request.Home.Server != "" {
		e.handleEvent(s, execution.Picked{Target: s.request.Home})
		return
	}
	q := s.query
	q.Exclude = a.Exclude
	_, target, ok := e.Core.Pick(e.lab.Now, q)
	if !ok {
		e.handleEvent(s, execution.NoTarget{Refusal: execution.Refusal{Code: execution.CodeNoServer, RetryAfter: time.Second}})
		return
	}
	e.handleEvent(s, execution.Picked{Target: target})
}

func (e *Entry) sendOffer(s *Submission, a execution.SendOffer) {
	h := e.lab.Host(a.Target.Server)
	e.Core.AttemptSent(e.lab.Now, s.query, h.Name)
	offer := backend.Offer{
		Offer: execution.Offer{Attempt: a.Attempt, Request: s.id, Target: a.Target.Incarnation, Workspace: s.request.Workspace,
			Service: s.request.Service, Key: s.request.Key, Expires: a.Expires},
		Entry: e.Name, Kind: s.request.Kind, Hall: s.request.Hall, Class: s.Class, PromptTokens: s.request.PromptTokens,
		AnswerTokens: s.request.AnswerTokens, Deadline: s.Sent.Add(s.request.Deadline), Group: s.groups[h.Name],
	}
	e.lab.call("offer", e.Name, h.Name, offerTimeout, func() any { return h.handleOffer(offer, s, e) }, func(reply any, ok bool) {
		if !ok {
			e.Core.AttemptEnded(s.query, h.Name)
			e.Core.RecordFailure(e.lab.Now, h.Name, s.query.Pool)
			e.handleEvent(s, execution.OfferLost{Attempt: a.Attempt})
			return
		}
		r := reply.(backend.Reply)
		answer := frontend.OfferReply{Verdict: r.Verdict, Refusal: r.Refusal, DemandShare: r.DemandShare, DemandKnown: r.DemandKnown}
		if !e.lab.IgnoreLoadReports {
			report := e.toReport(r.Load)
			answer.Report = &report
		}
		e.Core.ObserveServer(e.lab.Now, h.Name, h.Core.Incarnation(), h.Core.Draining())
		e.Core.HandleOfferReply(e.lab.Now, s.query, s.request.Workspace, h.Name, answer)
		e.handleEvent(s, execution.OfferAnswered{Attempt: a.Attempt, Result: r.OfferResult})
	})
}

func (e *Entry) openStream(s *Submission, a execution.OpenStream) {
	h := e.lab.Host(a.Target.Server)
	s.lastFrameAt, s.idleTimeout, s.streamAttempt = e.lab.Now, wire.ResponseWait, a.Attempt
	kind, serve := "open", func() { h.openStream(a.Attempt, a.Target.Incarnation, s, e) }
	if a.Resume {
		kind, serve = "resume", func() { h.resumeStream(a.Attempt, a.From, s, e) }
	}
	e.lab.send(Message{kind, e.Name, h.Name}, serve, func() {
		e.runOrDefer(func() {
			e.Core.RecordFailure(e.lab.Now, h.Name, s.query.Pool)
			e.handleEvent(s, execution.StreamBroken{Attempt: a.Attempt, Sent: a.Resume})
		})
	})
}

func (e *Entry) sendCancel(s *Submission, a execution.SendCancel) {
	h := e.lab.Host(a.Target.Server)
	request := execution.CancelRequest{Attempt: a.Attempt, Target: a.Target.Incarnation, OfferExpires: a.Expires,
		Workspace: s.request.Workspace, Service: s.request.Service, Key: s.request.Key}
	e.lab.call("cancel", e.Name, h.Name, cancelTimeout, func() any { return h.cancelAttempt(request) }, func(reply any, ok bool) {
		if !ok {
			e.handleEvent(s, execution.CancelLost{Attempt: a.Attempt})
			return
		}
		e.handleEvent(s, execution.CancelAnswered{Attempt: a.Attempt, Outcome: reply.(execution.Outcome)})
	})
}

// receiveFrame handles a frame or a heartbeat of a stream.
func (e *Entry) receiveFrame(s *Submission, h *Host, frame execution.Frame, load scheduling.Load) {
	s.lastFrameAt, s.idleTimeout = e.lab.Now, wire.StreamIdle
	e.recordLoad(s.query.Pool, h.Name, load)
	if frame.Last {
		e.Core.AttemptEnded(s.query, h.Name)
	}
	e.handleEvent(s, execution.FrameArrived{Frame: frame})
}

// streamBroken handles the break of a stream. It ignores streams of earlier
// attempts.
func (e *Entry) streamBroken(s *Submission, id execution.AttemptID) {
	if !e.openRequests[s] || id != s.streamAttempt {
		return
	}
	s.lastFrameAt = e.lab.Now
	e.Core.RecordFailure(e.lab.Now, s.core.Target().Server, s.query.Pool)
	e.handleEvent(s, execution.StreamBroken{Attempt: id, Sent: true})
}

func (e *Entry) deliver(s *Submission, frame execution.Frame) {
	if s.FirstToken.IsZero() {
		s.FirstToken = e.lab.Now
	}
	if !frame.Last {
		s.Answer = append(s.Answer, string(frame.Payload))
	}
}

func (e *Entry) conclude(s *Submission, conclusion execution.Conclusion) {
	delete(e.openRequests, s)
	s.Conclusion, s.Ended = &conclusion, e.lab.Now
	if record := conclusion.Record; record != nil && record.Answer.Kept {
		s.Answer = []string{string(record.Answer.Body)}
	}
	if s.request.Done != nil {
		s.request.Done(s)
	}
}

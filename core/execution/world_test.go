package execution

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

type packetKind uint8

const (
	offerPacket packetKind = iota + 1
	offerReply
	openPacket
	framePacket
	cancelPacket
	cancelReply
)

// packet is a message in flight between one submission and one server.
type packet struct {
	Kind       packetKind
	Submission int
	Server     int
	Offer      Offer
	Attempt    AttemptID
	Target     Incarnation
	Expires    time.Time
	Result     OfferResult
	Frame      Frame
	Outcome    Outcome
	Copied     bool
}

// world is one state of the model.
type world struct {
	now         time.Time
	submissions []*submission
	servers     []*ledgerHost
	packets     []packet
	budget      faults
	runs        []ranAttempt
	trace       []string
}

type submission struct {
	request    *Request
	key        Key
	started    bool
	concluded  *Conclusion
	attempts   int
	concludeAt int // number of runs at its conclusion
}

// ranAttempt is one run of an attempt at an engine or service.
type ranAttempt struct {
	Attempt    AttemptID
	Submission int
	Ended      bool
}

type ledgerHost struct {
	name        string
	incarnation int
	ledger      *Ledger
	running     []AttemptID
	homes       *fixedHomes
}

// fixedHomes is a HomeChecker whose server always or never is a key's home.
type fixedHomes struct{ home bool }

func (h fixedHomes) Check(string, string, time.Time, time.Duration) *Refusal {
	if h.home {
		return nil
	}
	return &Refusal{Code: CodeKeyNotHome}
}

// faults holds the remaining number of each fault.
type faults struct{ Losses, Copies, Restarts, Jumps, Deadlines, Ends int }

func (h *ledgerHost) target() Incarnation {
	return Incarnation(fmt.Sprintf("%s-%d", h.name, h.incarnation))
}

func (h *ledgerHost) restart(now time.Time) {
	h.incarnation++
	h.running = nil
	options := LedgerOptions{Server: h.name, Incarnation: h.target(), StartedAt: now, Retention: exploreRetention, MaxClockSkew: exploreAllowance,
		OfferLease: 5 * time.Second, OfferTTL: exploreLife, StreamLease: 5 * time.Second, MaxKeys: 10, MaxAnswerBytes: 10}
	h.ledger = NewLedger(options, h.homes)
}

// scenario describes an initial state.
type scenario struct {
	name    string
	servers int
	// submissions is the number of submissions under the same key; 1 without a key.
	submissions int
	key         func(home *ledgerHost) Key
	home        int
	repeatable  bool
	faults      faults
}

func (sc scenario) start() *world {
	w := &world{now: exploreStart.Add(time.Minute), budget: sc.faults}
	for i := range sc.servers {
		host := &ledgerHost{name: fmt.Sprintf("s%d", i), homes: &fixedHomes{home: i == sc.home}}
		host.restart(exploreStart)
		w.servers = append(w.servers, host)
	}
	for i := range sc.submissions {
		s := &submission{}
		if sc.key != nil {
			s.key = sc.key(w.servers[sc.home])
		}
		w.submissions = append(w.submissions, s)
		s.request = NewRequest(RequestOptions{ID: RequestID(fmt.Sprintf("r%d", i)), Key: s.key, KeyFromCaller: sc.key != nil,
			Retryable: sc.repeatable, Deadline: w.now.Add(time.Hour), OfferTTL: exploreLife, MaxAttempts: 2, MaxResumes: 1,
			TakeRetry: func(time.Time) bool { return true }})
	}
	return w
}

// clone returns a deep copy.
func (w *world) clone() *world {
	c := *w
	c.packets = slices.Clone(w.packets)
	c.runs = slices.Clone(w.runs)
	c.trace = slices.Clone(w.trace)
	c.submissions = nil
	for _, s := range w.submissions {
		copied := *s
		copied.request = s.request.clone()
		c.submissions = append(c.submissions, &copied)
	}
	c.servers = nil
	for _, h := range w.servers {
		copied := *h
		copied.running = slices.Clone(h.running)
		copied.ledger = h.ledger.clone()
		c.servers = append(c.servers, &copied)
	}
	return &c
}

func (r *Request) clone() *Request {
	c := *r
	c.excluded = slices.Clone(r.excluded)
	if r.checker != nil {
		check := *r.checker
		sum := *r.checker.sum
		check.sum = &sum
		c.checker = &check
	}
	return &c
}

func (l *Ledger) clone() *Ledger {
	c := *l
	c.attempts, c.open = map[AttemptID]*attempt{}, map[AttemptID]*attempt{}
	for id, a := range l.attempts {
		copied := *a
		c.attempts[id] = &copied
		if l.open[id] != nil {
			c.open[id] = &copied
		}
	}
	c.records = map[string]*Record{}
	for key, r := range l.records {
		copied := *r
		c.records[key] = &copied
	}
	c.barriers = map[string]time.Time{}
	for key, until := range l.barriers {
		c.barriers[key] = until
	}
	return &c
}

// fingerprint hashes a state without its trace and the order of the messages in
// flight.
func (w *world) fingerprint() uint64 {
	var b []byte
	for _, s := range w.submissions {
		b = s.append(b)
	}
	for _, h := range w.servers {
		b = h.append(b)
	}
	var packets []string
	for _, p := range w.packets {
		packets = append(packets, string(p.append(nil)))
	}
	slices.Sort(packets)
	for _, p := range packets {
		b = append(b, p...)
	}
	b = fmt.Appendf(b, "%d %v %v", w.now.Unix(), w.budget, w.runs)
	return xxhash.Sum64(b)
}

func (s *submission) append(b []byte) []byte {
	r := s.request
	b = fmt.Appendf(b, "%t %d %s %v %v %d %d %t %v %v %d|", s.started, r.stage, r.attempt, r.target, r.excluded, r.attempts, r.resumes,
		r.delivered, r.priorOutcome, r.lastCause.Code, r.sentAt.Unix())
	b = strconv.AppendBool(b, r.stopping)
	if s.concluded != nil {
		b = fmt.Appendf(b, "%d %d|", s.concluded.Outcome, s.concludeAt)
	}
	return b
}

func (h *ledgerHost) append(b []byte) []byte {
	b = fmt.Appendf(b, "%d %v|", h.incarnation, h.running)
	for _, id := range slices.Sorted(maps.Keys(h.ledger.attempts)) {
		a := h.ledger.attempts[id]
		b = fmt.Appendf(b, "%s %d %d %d %d %t %t|", id, a.phase, a.outcome, a.expiresAt.Unix(), a.lease.Unix(), a.stopping, a.keyMayHaveRun)
	}
	for _, key := range slices.Sorted(maps.Keys(h.ledger.records)) {
		r := h.ledger.records[key]
		b = fmt.Appendf(b, "%s %s %t %d %d|", key, r.Attempt, r.Started, r.Outcome, r.created.Unix())
	}
	for _, key := range slices.Sorted(maps.Keys(h.ledger.barriers)) {
		b = fmt.Appendf(b, "%s %d|", key, h.ledger.barriers[key].Unix())
	}
	return b
}

func (p packet) append(b []byte) []byte {
	b = fmt.Appendf(b, "%d %d %d %s %s %d %d %d %t ", p.Kind, p.Submission, p.Server, p.Attempt, p.Target, p.Offer.Expires.Unix(),
		p.Outcome, p.Frame.Outcome, p.Copied)
	if p.Result.Verdict != 0 {
		b = fmt.Appendf(b, "%d ", p.Result.Verdict)
	}
	if p.Result.Refusal != nil {
		b = append(b, p.Result.Refusal.Code...)
	}
	if p.Result.Record != nil {
		b = fmt.Appendf(b, " %d", p.Result.Record.Outcome)
	}
	return append(b, '|')
}

// move is one possible transition.
type move struct {
	name string
	do   func(w *world)
}

func (w *world) moves() []move {
	var all []move
	for i, s := range w.submissions {
		if !s.started && (i == 0 || w.submissions[i-1].started) {
			all = append(all, move{fmt.Sprintf("submit %d", i), func(w *world) { w.submit(i) }})
		}
		if s.started && s.concluded == nil && w.budget.Deadlines > 0 {
			all = append(all, move{fmt.Sprintf("deadline %d", i), func(w *world) {
				w.budget.Deadlines--
				w.feed(i, DeadlinePassed{})
			}})
		}
		if s.started && s.concluded == nil && w.budget.Ends > 0 {
			all = append(all, move{fmt.Sprintf("the entry of %d ends", i), func(w *world) {
				w.budget.Ends--
				w.feed(i, EntryStopping{Refusal{Code: CodeDraining}})
			}})
		}
	}
	for i := range w.packets {
		all = append(all, w.packetMoves(i)...)
	}
	for i, h := range w.servers {
		all = append(all, w.serverMoves(i, h)...)
	}
	if w.budget.Jumps > 0 {
		all = append(all, move{"time passes", func(w *world) {
			w.budget.Jumps--
			w.now = w.now.Add(exploreLife + 2*exploreAllowance + time.Second)
			for _, h := range w.servers {
				h.ledger.Tick(w.now)
			}
		}})
	}
	return all
}

func (w *world) packetMoves(i int) []move {
	p := w.packets[i]
	name := fmt.Sprintf("%d of %s (server %d)", p.Kind, p.Attempt, p.Server)
	all := []move{{"deliver " + name, func(w *world) {
		w.packets = slices.Delete(w.packets, i, i+1)
		w.deliver(p)
	}}}
	if w.budget.Losses > 0 {
		all = append(all, move{"lose " + name, func(w *world) {
			w.budget.Losses--
			w.packets = slices.Delete(w.packets, i, i+1)
			w.lost(p)
		}})
	}
	if w.budget.Copies > 0 && !p.Copied {
		all = append(all, move{"copy " + name, func(w *world) {
			w.budget.Copies--
			w.packets[i].Copied = true
			w.deliver(p)
		}})
	}
	return all
}

func (w *world) serverMoves(i int, h *ledgerHost) []move {
	var all []move
	for id, a := range h.ledger.attempts {
		if a.phase == Queued {
			all = append(all, move{"start " + string(id), func(w *world) { w.startRun(i, id) }})
		}
	}
	for _, id := range h.running {
		all = append(all, move{"end " + string(id), func(w *world) { w.endRun(i, id) }})
	}
	slices.SortFunc(all, func(a, b move) int { return slices.Compare([]byte(a.name), []byte(b.name)) })
	if w.budget.Restarts > 0 {
		all = append(all, move{fmt.Sprintf("restart %d", i), func(w *world) {
			w.budget.Restarts--
			w.servers[i].restart(w.now)
		}})
	}
	return all
}

func (w *world) submit(i int) {
	s := w.submissions[i]
	s.started = true
	w.feed(i, RequestStarted{})
}

// feed passes an event to a submission's state machine and carries out its actions.
func (w *world) feed(i int, event Event) {
	s := w.submissions[i]
	s.request.options.NewAttempt = func() AttemptID {
		s.attempts++
		return AttemptID(fmt.Sprintf("r%d/a%d", i, s.attempts))
	}
	for _, action := range s.request.Step(w.now, event) {
		w.act(i, action)
	}
}

func (w *world) act(i int, action Action) {
	s := w.submissions[i]
	switch a := action.(type) {
	case Pick:
		w.pick(i, a)
	case SendOffer:
		offer := Offer{Attempt: a.Attempt, Request: s.request.options.ID, Target: a.Target.Incarnation, Workspace: "w", Key: s.key, Expires: a.Expires}
		w.packets = append(w.packets, packet{Kind: offerPacket, Submission: i, Server: w.find(a.Target), Attempt: a.Attempt, Offer: offer})
	case OpenStream:
		if !a.Resume {
			w.packets = append(w.packets, packet{Kind: openPacket, Submission: i, Server: w.find(a.Target), Attempt: a.Attempt, Target: a.Target.Incarnation})
			return
		}
		w.resume(i, a)
	case SendCancel:
		w.packets = append(w.packets, packet{Kind: cancelPacket, Submission: i, Server: w.find(a.Target), Attempt: a.Attempt, Target: a.Target.Incarnation, Expires: a.Expires})
	case Conclude:
		s.concluded = &a.Conclusion
		s.concludeAt = len(w.runs)
	}
}

func (w *world) find(target Target) int {
	return slices.IndexFunc(w.servers, func(h *ledgerHost) bool { return h.name == target.Server })
}

// pick stands for routing: it selects the home known to the entry for a submission
// with a key, and otherwise the first server that is not excluded.
func (w *world) pick(i int, a Pick) {
	s := w.submissions[i]
	for n, h := range w.servers {
		if !s.key.None() {
			if h.homes.home {
				target := Target{Server: h.name, Incarnation: h.target()}
				if s.key.Issued {
					target.Incarnation = Incarnation(h.name + "-1")
				}
				w.feed(i, Picked{target})
				return
			}
			continue
		}
		if !slices.Contains(a.Exclude, h.name) {
			w.feed(i, Picked{Target{Server: w.servers[n].name, Incarnation: h.target()}})
			return
		}
	}
	w.feed(i, NoTarget{Refusal{Code: CodeNoServer}})
}

// resume sends the attempt's last frame if its host has the stream, and otherwise
// reports the stream as broken.
func (w *world) resume(i int, a OpenStream) {
	h := w.servers[w.find(a.Target)]
	if h.target() != a.Target.Incarnation || !h.ledger.Attach(a.Attempt) {
		w.feed(i, StreamBroken{Attempt: a.Attempt, Sent: true})
		return
	}
	if known := h.ledger.attempts[a.Attempt]; known.phase == Done {
		w.packets = append(w.packets, w.lastFrame(i, w.find(a.Target), a.Attempt, known.outcome))
	}
}

func (w *world) lastFrame(submission, server int, id AttemptID, outcome Outcome) packet {
	return packet{Kind: framePacket, Submission: submission, Server: server, Attempt: id,
		Frame: Frame{Request: w.submissions[submission].request.options.ID, Attempt: id, Sequence: 1, Last: true, Checksum: xxhash.New().Sum64(), Outcome: outcome}}
}

func (w *world) deliver(p packet) {
	h := w.servers[p.Server]
	switch p.Kind {
	case offerPacket:
		result := h.ledger.Offer(w.now, p.Offer, func() *Refusal { return nil })
		w.packets = append(w.packets, packet{Kind: offerReply, Submission: p.Submission, Server: p.Server, Attempt: p.Attempt, Result: result})
	case offerReply:
		w.feed(p.Submission, OfferAnswered{Attempt: p.Attempt, Result: p.Result})
	case openPacket:
		w.open(p)
	case framePacket:
		w.feed(p.Submission, FrameArrived{p.Frame})
	case cancelPacket:
		result := h.ledger.Cancel(w.now, CancelRequest{Attempt: p.Attempt, Target: p.Target, OfferExpires: p.Expires,
			Workspace: "w", Key: w.submissions[p.Submission].key})
		w.packets = append(w.packets, packet{Kind: cancelReply, Submission: p.Submission, Server: p.Server, Attempt: p.Attempt, Outcome: result.Outcome})
	case cancelReply:
		w.feed(p.Submission, CancelAnswered{Attempt: p.Attempt, Outcome: p.Outcome})
	}
}

// open delivers a run message; the host replies to it with a last frame if it refuses.
func (w *world) open(p packet) {
	outcome, refusal := w.servers[p.Server].ledger.OpenStream(w.now, p.Attempt, p.Target)
	if refusal != nil {
		w.packets = append(w.packets, w.lastFrame(p.Submission, p.Server, p.Attempt, outcome))
	}
}

// lost reports the loss of a packet to its sender, as a missing reply.
func (w *world) lost(p packet) {
	switch p.Kind {
	case offerPacket, offerReply:
		w.feed(p.Submission, OfferLost{Attempt: p.Attempt})
	case openPacket, framePacket:
		w.feed(p.Submission, StreamBroken{Attempt: p.Attempt, Sent: true})
	case cancelPacket, cancelReply:
		w.feed(p.Submission, CancelLost{Attempt: p.Attempt})
	}
}

func (w *world) startRun(server int, id AttemptID) {
	h := w.servers[server]
	if !h.ledger.Start(id) {
		return
	}
	var number int
	_, _ = fmt.Sscanf(string(id), "r%d/", &number)
	w.runs = append(w.runs, ranAttempt{Attempt: id, Submission: number})
	h.running = append(h.running, id)
}

func (w *world) endRun(server int, id AttemptID) {
	h := w.servers[server]
	h.running = slices.DeleteFunc(slices.Clone(h.running), func(other AttemptID) bool { return other == id })
	h.ledger.Finish(w.now, id, Finished, Answer{Body: []byte("ok")})
	for i := range w.runs {
		if w.runs[i].Attempt == id {
			w.runs[i].Ended = true
			w.packets = append(w.packets, w.lastFrame(w.runs[i].Submission, server, id, Finished))
		}
	}
}

// violation returns the name of the property that the state violates, or "".
func (w *world) violation(repeatable bool) string {
	if !repeatable && len(w.runs) > 1 {
		return "once"
	}
	for i, s := range w.submissions {
		if s.concluded == nil {
			continue
		}
		switch s.concluded.Outcome {
		case NotRun:
			for n, run := range w.runs {
				// A later submission of the same key may run.
				if run.Submission <= i || n < s.concludeAt {
					return "truth"
				}
			}
		case Finished:
			if !slices.ContainsFunc(w.runs, func(r ranAttempt) bool { return r.Ended }) {
				return "answered"
			}
		}
	}
	return ""
}

package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"arbutusdeck/core/directory"
	"arbutusdeck/core/peering"
	"arbutusdeck/core/placement"
	"arbutusdeck/core/routes"
	"arbutusdeck/core/waiting"
	"arbutusdeck/entry/peerlink"
)

// Refusals of a placement that the queue for slots makes.
const (
	// awaitsSlot means that the request has to wait for a slot.
	awaitsSlot placement.Refusal = "awaits_slot"
	// refusedByQueue means that the queue has refused the request; Choice.RetryAfter is set.
	refusedByQueue placement.Refusal = "refused_by_queue"
)

// slotQueue holds the requests that wait at this entry for a slot of one service. The lock of the Server guards it.
type slotQueue struct {
	service string
	queue   *waiting.Queue
	// waiting holds the requests in the queue by the IDs of their tickets.
	waiting map[string]*exchange
	// wake calls advanceQueue if nothing else does before.
	wake *time.Timer
	// sent is the latest report to the peers, as of sentAt.
	sent   waiting.Report
	sentAt time.Time
}

// turn is a request's place in the queue for a slot.
type turn struct {
	// ticket is the one that the request was offered with; its ID is empty before.
	ticket waiting.Ticket
	// granted is set from the start of the request by the queue until its dispatch.
	granted bool
	// decided gets nil when the request is started, else its refusal.
	decided chan *waiting.Refused
	// firstEvent is the predicted time to the first event in a free slot.
	firstEvent time.Duration
}

// waitingOverhead is the memory of an open request without its body: goroutines, connection buffers and headers.
const waitingOverhead = 32 << 10

// waitingMemoryShare is the share of the memory for bodies that waiting requests may take.
const waitingMemoryShare = 0.5

// queueFor returns the queue of a request with a prompt of this length; nil if it never waits for a slot: without
// overload.queueing, at a plain service, or if the prompt is long. Memory and prefill decide on long prompts, of which
// few take slots; they wait by placement.Choice.Wait. The caller holds the lock.
func (s *Server) queueFor(service *routes.Service, promptTokens int64) *slotQueue {
	options := placement.DefaultOptions(s.settings.Zone)
	if !s.settings.Overload.Queueing || service.Engine == nil || service.Engine.Slots <= 0 || promptTokens <= 0 || promptTokens > options.ShortTokens {
		return nil
	}
	q := s.queues[service.Name]
	if q == nil {
		// The network time includes two round trips, and a stagger a batch and three one-way delays.
		stagger := peerlink.FlushDelay + 3*options.NetworkTime/4
		maxBytes := int64(float64(s.settings.MemoryMB<<20) * bodyMemoryShare * waitingMemoryShare)
		q = &slotQueue{service: service.Name, waiting: map[string]*exchange{}, queue: waiting.New(waiting.Options{Service: service.Name, Entry: s.settings.PeerAddress,
			MaxBytes: maxBytes, PlanShare: waiting.DefaultPlanShare, KeepShare: waiting.DefaultKeepShare, Stagger: stagger, ReportLifetime: 3 * peering.HeartbeatInterval})}
		s.queues[service.Name] = q
	}
	return q
}

// queue returns the queue in which the request waits for a slot, or nil; the caller holds the lock.
func (e *exchange) queue() *slotQueue {
	if e.route.Target <= 0 {
		return nil
	}
	return e.s.queueFor(e.service, e.info.PromptTokens)
}

// supply returns the slots of the service in reach of this entry; the caller holds the lock.
func (s *Server) supply(now time.Time, q *slotQueue) waiting.Supply {
	service := s.service(q.service)
	if service == nil {
		return waiting.Supply{}
	}
	supply := s.loadTable.Supply(now, s.restrict(now, service, placement.Query{Engine: service.Engine, Servers: s.candidateServers(service)}))
	_, supply.Entries = s.peers.Zones(now)
	return supply
}

// checkQueue replaces a choice by awaitsSlot if the request has to wait: its server has no free slot, or others wait.
// Choice.Predicted then is the latest time for which the queue would promise an answer in time. The caller holds the
// lock.
func (e *exchange) checkQueue(now time.Time, choice placement.Choice, refusal placement.Refusal) (placement.Choice, placement.Refusal) {
	q := e.queue()
	if q == nil || refusal != "" || choice.Wait > 0 || choice.Unreachable || e.turn.granted || !choice.SlotsTaken && !q.queue.Contended(now) {
		return choice, refusal
	}
	e.turn.firstEvent = choice.FirstEvent
	wait := q.queue.Wait(now, e.s.supply(now, q))
	choice.Predicted = choice.FirstEvent + time.Duration(float64(wait)/waiting.DefaultPlanShare)
	return choice, awaitsSlot
}

// awaitSlot queues the request until it is started or refused, or its context ends. In the first and last case the
// choice has only a Wait, so that the caller checks the context and chooses again.
func (e *exchange) awaitSlot(ctx context.Context, choice placement.Choice) (placement.Choice, placement.Refusal) {
	since := time.Now()
	if refused := e.offer(since); refused != nil {
		return e.refusedByQueue(since, refused)
	}
	select {
	case refused := <-e.turn.decided:
		if refused != nil {
			return e.refusedByQueue(since, refused)
		}
	case <-ctx.Done():
	}
	metrics.GetOrRegisterTimer("waiting.time."+e.service.Name, e.s.registry).UpdateSince(since)
	return placement.Choice{Wait: time.Nanosecond}, ""
}

// offer puts the request into the queue. It returns a refusal if that is decided at once.
func (e *exchange) offer(now time.Time) *waiting.Refused {
	e.s.mu.Lock()
	defer e.s.mu.Unlock()
	if e.s.stopping.Load() != nil {
		return &waiting.Refused{Reason: waiting.Stopping}
	}
	q := e.queue()
	if e.turn.ticket.ID == "" {
		e.turn.ticket = e.newTicket()
		e.turn.decided = make(chan *waiting.Refused, 1)
	}
	e.turn.ticket.FirstEvent, e.turn.ticket.Draw = e.turn.firstEvent, e.s.random.Float64()
	supply := e.s.supply(now, q)
	verdict := q.queue.Offer(now, e.turn.ticket, supply)
	if !verdict.Wait {
		return &waiting.Refused{ID: e.turn.ticket.ID, RetryAfter: verdict.RetryAfter, Reason: verdict.Reason}
	}
	q.waiting[e.turn.ticket.ID] = e
	e.s.advanceQueue(now, q)
	if !e.turn.granted {
		e.s.queueLog(now, q, supply).WithField("request", e.info.ID).Info("request waits")
	}
	return nil
}

// newTicket returns the request's ticket; the caller holds the lock. A caller that states less remaining time than the
// route allows has made its first attempt earlier.
func (e *exchange) newTicket() waiting.Ticket {
	arrived := e.arrived
	if earlier := e.route.Timeout - e.info.Remaining; e.info.Remaining > 0 && earlier > 0 {
		arrived = arrived.Add(-earlier)
	}
	t := waiting.Ticket{ID: strconv.FormatUint(e.s.random.Uint64(), 36), Workspace: e.workspace, Priority: e.priority, PromptTokens: e.info.PromptTokens,
		Bytes: int64(len(e.body)) + waitingOverhead, Arrived: arrived, Due: arrived.Add(e.route.Target), Deadline: e.deadline.Add(-responseMargin)}
	t.Worth, t.LateWorth = e.s.loadTable.Worth(e.info.PromptTokens)
	return t
}

// refusedByQueue counts and logs a refusal of the queue, and returns it as one of the placement.
func (e *exchange) refusedByQueue(since time.Time, refused *waiting.Refused) (placement.Choice, placement.Refusal) {
	now := time.Now()
	metrics.GetOrRegisterCounter("waiting.refused."+string(refused.Reason)+"."+e.service.Name, e.s.registry).Inc(1)
	e.s.mu.Lock()
	q := e.queue()
	line := e.s.queueLog(now, q, e.s.supply(now, q))
	e.s.mu.Unlock()
	line.WithFields(logrus.Fields{"request": e.info.ID, "reason": refused.Reason, "waitedMs": now.Sub(since).Milliseconds(),
		"retryAfterMs": refused.RetryAfter.Milliseconds()}).Info("waiting request refused")
	if refused.Reason == waiting.Stopping {
		return placement.Choice{}, placement.Outlasts
	}
	return placement.Choice{RetryAfter: refused.RetryAfter}, refusedByQueue
}

// queueLog returns a log entry with the figures that the decisions of a queue rest on; the caller holds the lock.
func (s *Server) queueLog(now time.Time, q *slotQueue, supply waiting.Supply) *logrus.Entry {
	report := q.queue.Report(now)
	heard, oldest := q.queue.PeersHeard(now)
	return s.log.WithFields(logrus.Fields{"service": q.service, "slots": supply.Slots, "free": supply.Free, "holdMs": supply.HoldTime.Milliseconds(),
		"promised": report.Promised, "kept": report.Kept, "entries": supply.Entries, "peersHeard": heard, "oldestReportMs": oldest.Milliseconds()})
}

// missSlot records that the request was started and found no free slot, which another entry has taken; the caller
// holds the lock.
func (e *exchange) missSlot() {
	e.turn.granted = false
	metrics.GetOrRegisterCounter("waiting.fullServer."+e.service.Name, e.s.registry).Inc(1)
}

// leaveQueue removes the request from the queue once it is dispatched or has ended.
func (e *exchange) leaveQueue() {
	if e.turn.ticket.ID == "" {
		return
	}
	e.s.mu.Lock()
	defer e.s.mu.Unlock()
	e.turn.granted = false
	if q := e.s.queues[e.service.Name]; q != nil {
		delete(q.waiting, e.turn.ticket.ID)
		q.queue.Leave(e.turn.ticket.ID)
		e.s.advanceQueue(time.Now(), q)
	}
}

// slotReleased lets waiting requests use the slot that a request of this entry has given up.
func (s *Server) slotReleased(service *routes.Service, server directory.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queues[service.Name]
	if q == nil || server.Zone != s.settings.Zone && s.routesLocally(service.Name) {
		return
	}
	now := time.Now()
	q.queue.Released(now)
	s.advanceQueue(now, q)
}

// observeQueues records what a peer reports about its queues, and lets requests use the slots that have become free;
// the caller holds the lock.
func (s *Server) observeQueues(now time.Time, m peering.Message, restarted bool) {
	if !s.settings.Overload.Queueing {
		return
	}
	for _, report := range m.Queue {
		if q := s.queueOfReport(report); q != nil {
			q.queue.ObservePeer(now, m.From, report)
			metrics.GetOrRegisterCounter("waiting.granted."+q.service, s.registry).Inc(int64(report.Granted))
		}
	}
	for _, q := range s.queues {
		if restarted || m.Stopping {
			q.queue.ForgetPeer(m.From)
		}
	}
	if m.HasEvents() || len(m.Queue) > 0 || restarted || m.Stopping {
		s.advanceQueues(now)
	}
}

// queueOfReport returns the queue that a report of a peer is about; nil if the service isn't configured here. The
// caller holds the lock.
func (s *Server) queueOfReport(report waiting.Report) *slotQueue {
	service := s.service(report.Service)
	if service == nil {
		return nil
	}
	return s.queueFor(service, 1)
}

// othersWait reports whether requests wait for a slot of the service, here or at a peer; the caller holds the lock.
func (s *Server) othersWait(now time.Time, service *routes.Service) bool {
	q := s.queues[service.Name]
	return q != nil && q.queue.Contended(now)
}

// advanceQueues advances the queues in which requests wait; the caller holds the lock.
func (s *Server) advanceQueues(now time.Time) {
	for _, q := range s.queues {
		if q.queue.Len() > 0 {
			s.advanceQueue(now, q)
		}
	}
}

// advanceQueue starts and refuses the waiting requests whose turn has come, and passes slots on; the caller holds the
// lock.
func (s *Server) advanceQueue(now time.Time, q *slotQueue) {
	plan := q.queue.Next(now, s.supply(now, q))
	for _, id := range plan.Start {
		if e := q.waiting[id]; e != nil {
			e.turn.granted = true
			q.decide(id, nil)
		}
	}
	q.refuse(plan.Refuse)
	for _, peer := range plan.Pass {
		report := q.queue.Report(now)
		report.Granted = 1
		s.peers.PassSlot(peer, report)
		metrics.GetOrRegisterCounter("waiting.passed."+q.service, s.registry).Inc(1)
	}
	s.reportQueue(now, q)
	if q.wake != nil {
		q.wake.Stop()
	}
	if plan.Wake > 0 {
		q.wake = time.AfterFunc(plan.Wake, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.advanceQueue(time.Now(), q)
		})
	}
}

func (q *slotQueue) refuse(all []waiting.Refused) {
	for _, refused := range all {
		q.decide(refused.ID, &refused)
	}
}

// decide tells a waiting request that it is started, or its refusal.
func (q *slotQueue) decide(id string, refused *waiting.Refused) {
	if e := q.waiting[id]; e != nil {
		delete(q.waiting, id)
		e.turn.decided <- refused
	}
}

// reportTolerance is the change of a rank key that is not worth a message; reports are in milliseconds.
const reportTolerance = 2 * time.Millisecond

// reportQueue sends the state of a queue to the peers if it has changed; the caller holds the lock.
func (s *Server) reportQueue(now time.Time, q *slotQueue) {
	report := q.queue.Report(now)
	moved := func(key, sent int64) bool {
		return (time.Duration(key-sent)*time.Millisecond + now.Sub(q.sentAt)).Abs() > reportTolerance
	}
	if report.Promised == q.sent.Promised && report.Kept == q.sent.Kept &&
		(report.Promised == 0 || !moved(report.Head, q.sent.Head) && !moved(report.Last, q.sent.Last)) {
		return
	}
	q.sent, q.sentAt = report, now
	metrics.GetOrRegisterGauge("waiting.promised."+q.service, s.registry).Update(int64(report.Promised))
	metrics.GetOrRegisterGauge("waiting.kept."+q.service, s.registry).Update(int64(report.Kept))
	metrics.GetOrRegisterGauge("waiting.bytes."+q.service, s.registry).Update(q.queue.Bytes())
	s.peers.SendQueue(report)
}

// queueReports returns the state of all queues, for heartbeats.
func (s *Server) queueReports(now time.Time) []waiting.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	var reports []waiting.Report
	for _, q := range s.queues {
		reports = append(reports, q.queue.Report(now))
	}
	return reports
}

// stopQueues refuses all waiting requests because this entry stops.
func (s *Server) stopQueues(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, q := range s.queues {
		q.refuse(q.queue.Stop(now, s.supply(now, q)))
		s.reportQueue(now, q)
	}
}

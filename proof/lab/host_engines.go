package lab

import (
	"fmt"
	"strings"
	"time"

	"arbutusdeck/core/backend"
	"arbutusdeck/core/execution"
	"arbutusdeck/standin/engine"
)

// serviceTime is the duration of a call to a plain service.
const serviceTime = 200 * time.Millisecond

func (h *Host) startRun(e backend.StartRun) {
	h.StartedRuns[e.Attempt]++
	s := h.streams[e.Attempt]
	incarnation := h.incarnation
	if s.submitted.request.Service != "" {
		h.lab.After(serviceTime, func() {
			if incarnation == h.incarnation {
				h.runOrDefer(func() { h.finishService(e.Attempt, s) })
			}
		})
		return
	}
	s.engine = e.Engine
	eng := h.Engines[e.Engine]
	if err := h.addStream(e, s); err != nil {
		h.applyEffects(h.Core.Finish(h.lab.Now, e.Attempt, execution.NotRun, execution.Refusal{Code: execution.CodeQueueFull}, execution.Answer{}))
		return
	}
	eng.tokenSinks[string(e.Attempt)] = func(t engine.Token) {
		if incarnation == h.incarnation {
			h.runOrDefer(func() { h.handleToken(e.Attempt, s, t) })
		}
	}
	h.scheduleBatch(eng)
}

// addStream starts an attempt on its engine or on all engines of its group. The
// engines of a group communicate without the daemons, so this one adds them all.
func (h *Host) addStream(e backend.StartRun, s *stream) error {
	r := s.submitted.request
	whole := engine.Stream{ID: string(e.Attempt), PromptTokens: r.PromptTokens, OutputTokens: r.AnswerTokens, Priority: e.Priority, Prefix: r.Prefix}
	if len(e.Group) == 0 {
		return h.Engines[e.Engine].Model.Add(whole)
	}
	whole.Share = 1 / float64(len(e.Group))
	s.members = nil
	for _, member := range e.Group {
		server, name, _ := strings.Cut(member, "/")
		host := h.lab.Host(server)
		if err := host.Engines[name].Model.Add(whole); err != nil {
			s.removeMembers(e.Attempt)
			return err
		}
		s.members = append(s.members, host.Engines[name])
		host.scheduleBatch(host.Engines[name])
	}
	return nil
}

func (s *stream) removeMembers(id execution.AttemptID) {
	for _, e := range s.members {
		e.Model.Remove(string(id))
	}
}

// scheduleBatch schedules an engine's next batch, unless one is scheduled.
func (h *Host) scheduleBatch(e *Engine) {
	if e.batchScheduled {
		return
	}
	e.batchScheduled = true
	h.lab.After(e.Model.StepTime(), func() { h.runBatch(e) })
}

func (h *Host) runBatch(e *Engine) {
	e.batchScheduled = false
	for _, token := range e.Model.Batch() {
		if sink := e.tokenSinks[token.Stream]; sink != nil {
			sink(token)
		}
	}
	if !e.Model.Idle() {
		h.scheduleBatch(e)
	}
}

func (h *Host) handleToken(id execution.AttemptID, s *stream, t engine.Token) {
	if t.Index == 1 {
		h.applyEffects(h.Core.FirstToken(h.lab.Now, id))
	}
	if t.Index == 1 || h.lab.TokenFrames {
		s.writer.Write(fmt.Appendf(nil, "%s/%d", id, t.Index), "text/event-stream", 200)
		h.pushFrames(id, s)
	}
	if t.Last {
		h.removeStream(id, s)
		h.applyEffects(h.Core.Finish(h.lab.Now, id, execution.Finished, execution.Refusal{}, execution.Answer{}))
	}
}

func (h *Host) removeStream(id execution.AttemptID, s *stream) {
	s.removeMembers(id)
	h.Engines[s.engine].Model.Remove(string(id))
	delete(h.Engines[s.engine].tokenSinks, string(id))
}

func (h *Host) finishService(id execution.AttemptID, s *stream) {
	body := fmt.Appendf(nil, "%s/1", id)
	s.writer.Write(body, "application/json", 200)
	h.pushFrames(id, s)
	h.applyEffects(h.Core.Finish(h.lab.Now, id, execution.Finished, execution.Refusal{}, execution.Answer{Kept: true, Body: body, Status: 200}))
}

func (h *Host) stopRun(id execution.AttemptID) {
	s := h.streams[id]
	if s == nil || s.engine == "" {
		return
	}
	h.removeStream(id, s)
	h.applyEffects(h.Core.Finish(h.lab.Now, id, execution.Failed, execution.Refusal{Code: execution.CodeEngineFailed}, execution.Answer{}))
}

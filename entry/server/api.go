package server

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/uptrace/bunrouter"

	"arbutusdeck/core/callers"
	"arbutusdeck/core/config"
	"arbutusdeck/core/execution"
	"arbutusdeck/core/wire"
)

// Limits of a caller's connection.
const (
	// bodyTimeout bounds the reading of a body.
	bodyTimeout = 60 * time.Second
	// writeSlack bounds the time past a request's deadline for writing its response.
	writeSlack = 10 * time.Second
)

// refusedError reports that the entry itself refused a request; nothing was run.
type refusedError struct{ refusal execution.Refusal }

func (e *refusedError) Error() string { return e.refusal.Error() }

func refusef(code execution.Code, format string, args ...any) *refusedError {
	return &refusedError{execution.Refusal{Code: code, Detail: fmt.Sprintf(format, args...)}}
}

func (s *Server) callerRouter() http.Handler {
	router := bunrouter.New(
		bunrouter.WithNotFoundHandler(noRouteHandler(codeNotFound, "no such path")),
		bunrouter.WithMethodNotAllowedHandler(noRouteHandler(codeBadMethod, "the path does not take this method")))
	router.GET("/healthz", func(w http.ResponseWriter, _ bunrouter.Request) error {
		return json.NewEncoder(w).Encode(map[string]string{"status": "alive"})
	})
	router.GET("/readyz", s.readyz)
	router.GET("/v1/models", s.handleCaller(s.models))
	router.POST("/v1/completions", s.handleCaller(func(c *call) error { return s.complete(c, "prompt") }))
	router.POST("/v1/chat/completions", s.handleCaller(func(c *call) error { return s.complete(c, "messages") }))
	router.POST("/v1/idempotency-keys", s.handleCaller(s.issueKey))
	router.POST("/v1/services/:service/*path", s.handleCaller(s.service))
	return router
}

// noRouteHandler returns a handler for requests that match no route of the API.
func noRouteHandler(code execution.Code, detail string) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		return writeProblem(w, execution.RequestID(newID()), execution.NotRun, execution.Refusal{Code: code, Detail: detail + ": " + r.Method + " " + r.URL.Path})
	}
}

func (s *Server) readyz(w http.ResponseWriter, _ bunrouter.Request) error {
	if err := s.Ready(); err != nil {
		return writeProblem(w, "", execution.NotRun, execution.Refusal{Code: codeNotReady, Detail: err.Error(), RetryAfter: time.Second})
	}
	return json.NewEncoder(w).Encode(map[string]string{"status": "ready"})
}

// call is one authenticated request of a caller.
type call struct {
	w         http.ResponseWriter
	r         bunrouter.Request
	id        execution.RequestID
	snapshot  *config.Snapshot
	workspace string
}

// handleCaller wraps a handler: it authenticates the request, counts it as open, and writes
// an error response if the entry refuses it.
func (s *Server) handleCaller(next func(c *call) error) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, request bunrouter.Request) error {
		c := &call{w: w, r: request, id: execution.RequestID(newID())}
		w.Header().Set(headerID, string(c.id))
		s.counters.requests.Inc(1)
		err := s.serve(c, next)
		var refused *refusedError
		if !errors.As(err, &refused) {
			return nil
		}
		s.counters.refused.Inc(1)
		return writeProblem(w, c.id, refusedOutcome(request.Request), refused.refusal)
	}
}

func newID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

func (s *Server) serve(c *call, next func(c *call) error) error {
	if err := s.Manager().Begin(); err != nil {
		return &refusedError{execution.Refusal{Code: codeNotReady, Detail: "this entry takes no requests now", RetryAfter: time.Second}}
	}
	defer s.Manager().End()
	c.snapshot = s.Store.Current()
	if err := s.authenticate(c); err != nil {
		return err
	}
	return next(c)
}

// authenticate sets the call's workspace. The configuration holds only the hashes of API keys.
func (s *Server) authenticate(c *call) error {
	key, ok := strings.CutPrefix(c.r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return refusef(codeUnauthorized, "give the workspace's API key as a bearer token")
	}
	sum := sha256.Sum256([]byte(key))
	c.workspace, ok = c.snapshot.WorkspaceByKeyHash(hex.EncodeToString(sum[:]))
	if !ok {
		return refusef(codeUnauthorized, "the API key belongs to no workspace")
	}
	return nil
}

type modelObject struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (s *Server) models(c *call) error {
	seen := map[string]bool{}
	rows := []modelObject{}
	for _, hall := range c.snapshot.Halls {
		if !seen[hall.Model] {
			seen[hall.Model] = true
			rows = append(rows, modelObject{ID: hall.Model, Object: "model"})
		}
	}
	slices.SortFunc(rows, func(a, b modelObject) int { return strings.Compare(a.ID, b.ID) })
	c.w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(c.w).Encode(map[string]any{"object": "list", "data": rows})
}

// requestKind returns the request kind and its name: the one named by the caller, or else
// the only one that the workspace may use or that is configured.
func (c *call) requestKind(named string) (string, config.Kind, error) {
	allowed := c.snapshot.Workspaces[c.workspace].Kinds
	if named == "" && len(allowed) == 1 {
		named = allowed[0]
	}
	if named == "" && len(c.snapshot.Kinds) == 1 {
		for only := range c.snapshot.Kinds {
			named = only
		}
	}
	kind, ok := c.snapshot.Kinds[named]
	if !ok {
		return "", kind, refusef(codeBadRequest, "%s: no request kind is named %q", headerKind, named)
	}
	if len(allowed) > 0 && !slices.Contains(allowed, named) {
		return "", kind, refusef(codeForbidden, "the workspace may not use the request kind %q", named)
	}
	return named, kind, nil
}

// deadlineOf returns the request's deadline: the caller's, but at most limit from now.
func (c *call) deadlineOf(limit time.Duration) (time.Time, error) {
	text := c.r.Header.Get(headerDeadline)
	if text == "" {
		return time.Now().Add(limit), nil
	}
	requested, err := time.ParseDuration(text)
	if err != nil || requested <= 0 {
		return time.Time{}, refusef(codeBadRequest, "%s: %q must be a positive duration, as in 20s", headerDeadline, text)
	}
	return time.Now().Add(min(requested, limit)), nil
}

func (s *Server) readBody(c *call) ([]byte, func(), error) {
	callers.Unbound(c.w, c.r.Request)
	controller, deadline := http.NewResponseController(c.w), time.Now().Add(bodyTimeout)
	_ = controller.SetReadDeadline(deadline)
	_ = controller.SetWriteDeadline(deadline.Add(writeSlack))
	ending := s.Manager().Aborting()
	stop := context.AfterFunc(ending, func() { _ = controller.SetReadDeadline(time.Now()) })
	data, release, err := readBody(c.w, c.r.Request, s.options.Settings.MaxBodyBytes)
	// If stop returns false, the read deadline stays in the past, so that the response
	// isn't delayed by reading the rest of the body.
	if stop() {
		_ = controller.SetReadDeadline(time.Time{})
	}
	switch {
	case err == nil:
		return data, release, nil
	case ending.Err() != nil:
		return nil, nil, &refusedError{stoppingRefusal}
	case errors.Is(err, errBodyTooLarge):
		return nil, nil, refusef(codeTooLarge, "%v", err)
	case errors.Is(err, errBodyBudget):
		return nil, nil, &refusedError{execution.Refusal{Code: execution.CodeQueueFull, Detail: err.Error(), RetryAfter: time.Second}}
	}
	return nil, nil, refusef(codeBadRequest, "%v", err)
}

func (s *Server) newTask(c *call, key execution.Key, home *execution.Target) *task {
	t := &task{home: home, release: func() {}}
	t.options = execution.RequestOptions{ID: c.id, Key: key, KeyFromCaller: !key.None(), MaxResumes: execution.DefaultMaxResumes,
		NewAttempt: func() execution.AttemptID { return execution.AttemptID(newID()) },
		TakeRetry: func(now time.Time) bool {
			s.counters.retries.Inc(1)
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.core.TakeRetry(now)
		}}
	t.offer = &wire.OfferRequest{Request: string(c.id), Workspace: c.workspace, Key: key.ID, IssuedKey: key.Issued,
		Fingerprint: key.Fingerprint, KeyMadeUnixMs: key.CreatedAt.UnixMilli()}
	t.record = &RoutingRecord{Request: c.id, Time: time.Now(), Workspace: c.workspace}
	return t
}

// admitAndRun charges the request to the workspace's quota and runs it.
func (s *Server) admitAndRun(c *call, t *task) error {
	if refusal := s.quarantineRefusal(time.Now(), t.fingerprint); refusal != nil {
		return &refusedError{*refusal}
	}
	s.mu.Lock()
	refusal := s.core.Admit(time.Now(), c.workspace, t.offer.PromptTokens)
	s.mu.Unlock()
	if refusal != nil {
		return &refusedError{*refusal}
	}
	controller := http.NewResponseController(c.w)
	_ = controller.SetWriteDeadline(t.options.Deadline.Add(writeSlack))
	t.request = execution.NewRequest(t.options)
	ctx, cancel := context.WithCancel(c.r.Context())
	defer cancel()
	conclusion := s.drive(ctx, t)
	if conclusion.Outcome == execution.Finished && conclusion.Record == nil {
		s.recordCompletion(t)
	}
	s.finish(t, conclusion)
	return nil
}

// finish writes the final response, if it isn't written yet, and records the outcome. It panics with http.ErrAbortHandler
// if the connection has to end so that the response does not look complete.
func (s *Server) finish(t *task, conclusion execution.Conclusion) {
	s.count(conclusion.Outcome)
	t.record.Outcome, t.record.Attempts, t.record.Took = conclusion.Outcome.String(), conclusion.Attempts, time.Since(t.record.Time)
	var err error
	switch {
	case conclusion.Record != nil:
		err = s.replay(t, conclusion)
	case conclusion.Outcome != execution.Finished:
		t.record.Code = conclusion.Refusal.Code
		err = t.sink.fail(t.options.ID, conclusion.Outcome, *conclusion.Refusal)
	}
	s.routing.add(t.record)
	if errors.Is(err, http.ErrAbortHandler) {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		s.Log.WithError(err).WithField("request", t.options.ID).Debug("the caller disconnected before the response was written")
	}
}

// replay answers a repeated request from the record that the ledger holds of its key.
func (s *Server) replay(t *task, conclusion execution.Conclusion) error {
	answer := conclusion.Record.Answer
	if conclusion.Outcome == execution.Finished && answer.Kept {
		frame := execution.Frame{Payload: answer.Body, ContentType: answer.ContentType, Status: answer.Status}
		if err := t.sink.write(frame); err != nil {
			return err
		}
		return t.sink.end()
	}
	refusal := conclusion.Refusal
	if refusal == nil {
		refusal = &execution.Refusal{Code: codeAnswerNotKept, Detail: "the request ran before under this key; its answer was not kept"}
	}
	t.record.Code = refusal.Code
	return t.sink.fail(t.options.ID, conclusion.Outcome, *refusal)
}

func (s *Server) count(outcome execution.Outcome) {
	switch outcome {
	case execution.Finished:
		s.counters.finished.Inc(1)
	case execution.NotRun:
		s.counters.notRun.Inc(1)
	case execution.Failed:
		s.counters.failed.Inc(1)
	default:
		s.counters.unknown.Inc(1)
	}
}

func (s *Server) observeFirstToken(t *task, took time.Duration) {
	s.mu.Lock()
	timer := s.counters.firstToken[t.record.Class]
	s.mu.Unlock()
	if timer != nil {
		timer.Update(took)
	}
}

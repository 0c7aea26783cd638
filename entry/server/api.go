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

	"arbutusdeck/core/config"
	"arbutusdeck/core/execution"
	"arbutusdeck/core/wire"
)

// Bounds on a caller's connection.
const (
	// bodyTimeout bounds the reading of a body.
	bodyTimeout = 60 * time.Second
	// writeSlack is how long past its deadline an answer may still be written.
	writeSlack = 10 * time.Second
)

// refusedError is a request that the entry itself refuses; nothing was run.
type refusedError struct{ refusal execution.Refusal }

func (e *refusedError) Error() string { return e.refusal.Error() }

func refuse(code execution.Code, format string, args ...any) *refusedError {
	return &refusedError{execution.Refusal{Code: code, Detail: fmt.Sprintf(format, args...)}}
}

func (s *Server) callerRouter() http.Handler {
	router := bunrouter.New(
		bunrouter.WithNotFoundHandler(unrouted(codeNotFound, "no such path")),
		bunrouter.WithMethodNotAllowedHandler(unrouted(codeBadMethod, "the path does not take this method")))
	router.GET("/healthz", func(w http.ResponseWriter, _ bunrouter.Request) error {
		return json.NewEncoder(w).Encode(map[string]string{"status": "alive"})
	})
	router.GET("/readyz", s.readyz)
	router.GET("/v1/models", s.caller(s.models))
	router.POST("/v1/completions", s.caller(func(c *call) error { return s.complete(c, "prompt") }))
	router.POST("/v1/chat/completions", s.caller(func(c *call) error { return s.complete(c, "messages") }))
	router.POST("/v1/idempotency-keys", s.caller(s.issueKey))
	router.POST("/v1/services/:service/*path", s.caller(s.service))
	return router
}

// unrouted answers a request that no route takes.
func unrouted(code execution.Code, detail string) bunrouter.HandlerFunc {
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

// call is one caller's request with what authentication found.
type call struct {
	w         http.ResponseWriter
	r         bunrouter.Request
	id        execution.RequestID
	snapshot  *config.Snapshot
	workspace string
}

// caller authenticates, counts the request as open, and turns a refusal of the
// entry into an answer.
func (s *Server) caller(next func(c *call) error) bunrouter.HandlerFunc {
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
		outcome := execution.NotRun
		if request.Header.Get(headerKey) != "" {
			// An earlier submission of the key may have run; its home was
			// not asked.
			outcome = execution.Unknown
		}
		return writeProblem(w, c.id, outcome, refused.refusal)
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

// authenticate finds the workspace of the API key by the key's hash.
func (s *Server) authenticate(c *call) error {
	key, ok := strings.CutPrefix(c.r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return refuse(codeUnauthorized, "give the workspace's API key as a bearer token")
	}
	sum := sha256.Sum256([]byte(key))
	c.workspace, ok = c.snapshot.WorkspaceOfKey(hex.EncodeToString(sum[:]))
	if !ok {
		return refuse(codeUnauthorized, "the API key belongs to no workspace")
	}
	return nil
}

type modelRow struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (s *Server) models(c *call) error {
	seen := map[string]bool{}
	rows := []modelRow{}
	for _, hall := range c.snapshot.Halls {
		if !seen[hall.Model] {
			seen[hall.Model] = true
			rows = append(rows, modelRow{ID: hall.Model, Object: "model"})
		}
	}
	slices.SortFunc(rows, func(a, b modelRow) int { return strings.Compare(a.ID, b.ID) })
	c.w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(c.w).Encode(map[string]any{"object": "list", "data": rows})
}

// kindOf returns the request kind: the one named in the header, or the only one
// that the workspace may use.
func (c *call) kindOf(named string) (string, config.Kind, error) {
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
		return "", kind, refuse(codeBadRequest, "%s: no request kind is named %q", headerKind, named)
	}
	if len(allowed) > 0 && !slices.Contains(allowed, named) {
		return "", kind, refuse(codeForbidden, "the workspace may not use the request kind %q", named)
	}
	return named, kind, nil
}

// deadlineOf returns the request's deadline: the caller's if it is the shorter.
func (c *call) deadlineOf(limit time.Duration) (time.Time, error) {
	text := c.r.Header.Get(headerDeadline)
	if text == "" {
		return time.Now().Add(limit), nil
	}
	own, err := time.ParseDuration(text)
	if err != nil || own <= 0 {
		return time.Time{}, refuse(codeBadRequest, "%s: %q must be a positive duration, as in 20s", headerDeadline, text)
	}
	return time.Now().Add(min(own, limit)), nil
}

func (s *Server) readBody(c *call) ([]byte, func(), error) {
	controller := http.NewResponseController(c.w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	ending := s.Manager().Ending()
	stop := context.AfterFunc(ending, func() { _ = controller.SetReadDeadline(time.Now()) })
	data, release, err := readBody(c.w, c.r.Request, s.options.Settings.MaxBodyBytes, s.bodies)
	if stop() { // else the rest of the body must not be waited for, before the answer is written
		_ = controller.SetReadDeadline(time.Time{})
	}
	switch {
	case err == nil:
		return data, release, nil
	case ending.Err() != nil:
		return nil, nil, &refusedError{entryEnds}
	case errors.Is(err, errTooLarge):
		return nil, nil, refuse(codeTooLarge, "%v", err)
	case errors.Is(err, errNoRoom):
		return nil, nil, &refusedError{execution.Refusal{Code: execution.CodeQueueFull, Detail: err.Error(), RetryAfter: time.Second}}
	}
	return nil, nil, refuse(codeBadRequest, "%v", err)
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
		Fingerprint: key.Fingerprint, KeyMadeUnixMs: key.Made.UnixMilli()}
	t.route = &RoutingRecord{Request: c.id, Time: time.Now(), Workspace: c.workspace}
	return t
}

// admitAndDrive spends the workspace's quota and runs the request.
func (s *Server) admitAndDrive(c *call, t *task) error {
	if refusal := s.quarantined(time.Now(), t.fingerprint); refusal != nil {
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
		s.noteAnswer(t)
	}
	s.conclude(t, conclusion)
	return nil
}

// conclude gives the caller the final answer and notes how the request went.
func (s *Server) conclude(t *task, conclusion execution.Conclusion) {
	s.count(conclusion.Outcome)
	t.route.Outcome, t.route.Attempts, t.route.Took = conclusion.Outcome.String(), conclusion.Attempts, time.Since(t.route.Time)
	var err error
	switch {
	case conclusion.Record != nil:
		err = s.replay(t, conclusion)
	case conclusion.Outcome != execution.Finished:
		t.route.Code = conclusion.Refusal.Code
		err = t.sink.fail(t.options.ID, conclusion.Outcome, *conclusion.Refusal)
	}
	s.routes.add(t.route)
	if err != nil {
		s.Log.WithError(err).WithField("request", t.options.ID).Debug("the caller was gone before its answer")
	}
}

// replay answers a resend from the ledger's record.
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
	t.route.Code = refusal.Code
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
	timer := s.counters.firstToken[t.route.Class]
	s.mu.Unlock()
	if timer != nil {
		timer.Update(took)
	}
}

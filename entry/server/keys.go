package server

import (
	"encoding/json"
	"net/http"
	"time"

	"arbutusdeck/core/config"
	"arbutusdeck/core/execution"
	"arbutusdeck/core/routing"
)

// codeAnswerNotKept is the code for a key whose request has run but whose response the
// ledger no longer holds.
const codeAnswerNotKept execution.Code = "answer_not_kept"

// issueKeyRequest is the body of a request for an idempotency key. One of the fields is set.
type issueKeyRequest struct {
	Kind    string `json:"kind"`
	Service string `json:"service"`
}

type issueKeyReply struct {
	Key string `json:"key"`
	// ExpiresAt is the time at which the home server may drop the key's record.
	ExpiresAt time.Time `json:"expiresAt"`
}

// maxIssueKeyBytes bounds the body of a request for a key.
const maxIssueKeyBytes = 4 << 10

// issueKey issues an idempotency key that names its home server. It runs nothing, so the
// caller may retry safely after a lost reply.
func (s *Server) issueKey(c *call) error {
	var body issueKeyRequest
	if err := json.NewDecoder(http.MaxBytesReader(c.w, c.r.Body, maxIssueKeyBytes)).Decode(&body); err != nil {
		return refusef(codeBadRequest, "the body must be {\"service\": ...} or {\"kind\": ...}: %s", jsonErrorPosition(nil, err))
	}
	pool, err := c.poolOfKey(body)
	if err != nil {
		return err
	}
	s.mu.Lock()
	_, target, ok := s.core.Pick(time.Now(), routing.Query{Pool: pool, PromptTokens: 1})
	s.mu.Unlock()
	if !ok {
		return &refusedError{execution.Refusal{Code: execution.CodeNoServer, Detail: "no backend server can be the key's home now", RetryAfter: time.Second}}
	}
	now := time.Now()
	key := s.keys.Issue(execution.IssuedKey{Service: pool, Server: target.Server, Incarnation: target.Incarnation, CreatedUnixMS: now.UnixMilli(), Nonce: newID()})
	c.w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(c.w).Encode(issueKeyReply{Key: key, ExpiresAt: now.Add(execution.DefaultLedgerOptions().Retention).UTC()})
}

func (c *call) poolOfKey(body issueKeyRequest) (string, error) {
	if body.Service != "" {
		if _, ok := c.snapshot.Services[body.Service]; !ok {
			return "", refusef(codeNotFound, "no service is named %q", body.Service)
		}
		return config.ServicePool(body.Service), nil
	}
	_, kind, err := c.requestKind(body.Kind)
	return kind.Hall, err
}

// idempotencyKey parses the request's key and returns it with its home server. The home
// follows from the key itself or from the configuration, never from which servers are alive.
func (s *Server) idempotencyKey(c *call, service, pool string, fingerprint uint64) (execution.Key, *execution.Target, error) {
	text := c.r.Header.Get(headerKey)
	if text == "" {
		return execution.Key{}, nil, nil
	}
	parsed, err := s.keys.Parse(text)
	if err != nil {
		return execution.Key{}, nil, refusef(codeBadRequest, "%s: %v", headerKey, err)
	}
	key := execution.Key{ID: parsed.Text, CreatedAt: parsed.CreatedAt, Fingerprint: fingerprint}
	if issued := parsed.Issued; issued != nil {
		if issued.Service != pool {
			return key, nil, refusef(codeBadRequest, "%s: the key was issued for %q", headerKey, issued.Service)
		}
		key.Issued = true
		return key, &execution.Target{Server: issued.Server, Incarnation: issued.Incarnation}, nil
	}
	_, home, ok := c.snapshot.HomeSlotOf(service, key.ID)
	if !ok {
		return key, nil, refusef(codeBadRequest, "%s: keys made by callers are not taken here; ask POST /v1/idempotency-keys for one", headerKey)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return key, &execution.Target{Server: home.Server, Incarnation: s.core.Incarnation(home.Server)}, nil
}

package server

import (
	"encoding/json"
	"net/http"
	"time"

	"arbutusdeck/core/config"
	"arbutusdeck/core/execution"
	"arbutusdeck/core/routing"
)

// codeAnswerNotKept says that a key has run and its answer is no longer held.
const codeAnswerNotKept execution.Code = "answer_not_kept"

// keyRequest asks for an issued key. One of the fields is given.
type keyRequest struct {
	Kind    string `json:"kind"`
	Service string `json:"service"`
}

type keyReply struct {
	Key string `json:"key"`
	// ExpiresAt is when the home forgets the key's record.
	ExpiresAt time.Time `json:"expiresAt"`
}

// maxKeyRequest bounds the body that asks for a key.
const maxKeyRequest = 4 << 10

// issueKey gives out a key that names its home. Nothing runs, so a lost reply
// costs nothing.
func (s *Server) issueKey(c *call) error {
	var asked keyRequest
	if err := json.NewDecoder(http.MaxBytesReader(c.w, c.r.Body, maxKeyRequest)).Decode(&asked); err != nil {
		return refuse(codeBadRequest, "the body must be {\"service\": ...} or {\"kind\": ...}: %s", jsonPlace(nil, err))
	}
	pool, err := c.poolOfKey(asked)
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
	return json.NewEncoder(c.w).Encode(keyReply{Key: key, ExpiresAt: now.Add(execution.DefaultLedgerOptions().Retention).UTC()})
}

func (c *call) poolOfKey(asked keyRequest) (string, error) {
	if asked.Service != "" {
		if _, ok := c.snapshot.Services[asked.Service]; !ok {
			return "", refuse(codeNotFound, "no service is named %q", asked.Service)
		}
		return config.ServicePool(asked.Service), nil
	}
	_, kind, err := c.kindOf(asked.Kind)
	return kind.Hall, err
}

// keyOf reads the request's key and finds its home. The home is fixed by the key
// itself or by the configuration, never by which servers are alive.
func (s *Server) keyOf(c *call, service, pool string, fingerprint uint64) (execution.Key, *execution.Target, error) {
	text := c.r.Header.Get(headerKey)
	if text == "" {
		return execution.Key{}, nil, nil
	}
	parsed, err := s.keys.Parse(text)
	if err != nil {
		return execution.Key{}, nil, refuse(codeBadRequest, "%s: %v", headerKey, err)
	}
	key := execution.Key{ID: parsed.Text, CreatedAt: parsed.CreatedAt, Fingerprint: fingerprint}
	if issued := parsed.Issued; issued != nil {
		if issued.Service != pool {
			return key, nil, refuse(codeBadRequest, "%s: the key was issued for %q", headerKey, issued.Service)
		}
		key.Issued = true
		return key, &execution.Target{Server: issued.Server, Incarnation: issued.Incarnation}, nil
	}
	_, home, ok := c.snapshot.HomeSlotOf(service, key.ID)
	if !ok {
		return key, nil, refuse(codeBadRequest, "%s: keys made by callers are not taken here; ask POST /v1/idempotency-keys for one", headerKey)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return key, &execution.Target{Server: home.Server, Incarnation: s.core.Incarnation(home.Server)}, nil
}

package server

import (
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"

	"arbutusdeck/core/config"
	"arbutusdeck/core/quarantine"
)

// maxServicePath bounds the path that is handed on to a plain service.
const maxServicePath = 2048

// service hands a call on to a plain service.
func (s *Server) service(c *call) error {
	name := c.r.Param("service")
	service, ok := c.snapshot.Services[name]
	if !ok {
		return refuse(codeNotFound, "no service is named %q", name)
	}
	if allowed := c.snapshot.Workspaces[c.workspace].Services; len(allowed) > 0 && !slices.Contains(allowed, name) {
		return refuse(codeForbidden, "the workspace may not use the service %q", name)
	}
	deadline, err := c.deadlineOf(service.Deadline.D())
	if err != nil {
		return err
	}
	path := "/" + c.r.Param("path")
	if len(path) > maxServicePath {
		return refuse(codeBadRequest, "the path has %d bytes, at most %d are taken", len(path), maxServicePath)
	}
	data, release, err := s.readBody(c)
	if err != nil {
		return err
	}
	defer release()
	key, home, err := s.keyOf(c, name, config.ServicePool(name), contentHash(path, data))
	if err != nil {
		return err
	}
	t := s.newTask(c, key, home)
	t.options.Retryable, t.options.Deadline = service.Repeatable, deadline
	t.offer.Service, t.offer.DeadlineUnixMs, t.offer.PromptTokens = name, deadline.UnixMilli(), 1
	t.query.Pool, t.query.PromptTokens = config.ServicePool(name), 1
	t.path, t.method, t.content = path, http.MethodPost, c.r.Header.Get("Content-Type")
	t.fingerprint = quarantine.FingerprintOf(c.workspace, http.MethodPost, name, path, data)
	t.body, t.release, t.sink = data, release, newPassSink(c.w)
	t.route.Service, t.route.Tokens = name, 1
	return s.admitAndDrive(c, t)
}

// contentHash tells two contents under one idempotency key apart, without copying the body.
func contentHash(path string, body []byte) uint64 {
	sum := xxhash.New()
	_, _ = sum.WriteString(path + "\x00")
	_, _ = sum.Write(body)
	return sum.Sum64()
}

// Package admin implements the read-only administration API of a daemon: health and
// readiness for the load balancer, metrics for scrapers, and status and audit trail
// for operators.
package admin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/rcrowley/go-metrics"
	"github.com/uptrace/bunrouter"

	"arbutusdeck/core/audit"
	"arbutusdeck/core/wire"
)

// Section returns one section of the status as a value to encode as JSON.
type Section func() any

// Options configures the API.
type Options struct {
	// Token is the bearer token for all endpoints except health and readiness.
	Token string
	// Ready returns nil while the daemon accepts new work, and an error
	// otherwise.
	Ready    func() error
	Registry metrics.Registry
	Trail    *audit.Trail
	// Sections are the sections of the status by name. Each is served at
	// /v1/status/{name}, and all of them at /v1/status.
	Sections map[string]Section
}

// Problem is the body of an error response.
type Problem struct {
	Code   string `json:"code"`
	Detail string `json:"detail"`
}

// Handler returns the HTTP handler of the API.
func Handler(options Options) http.Handler {
	a := api{options}
	router := bunrouter.New()
	router.GET("/healthz", a.health)
	router.GET("/readyz", a.ready)
	router.GET("/metrics", a.authenticated(a.metrics))
	router.GET("/v1/status", a.authenticated(a.status))
	router.GET("/v1/status/:section", a.authenticated(a.section))
	router.GET("/v1/audit", a.authenticated(a.audit))
	return router
}

type api struct{ options Options }

func (a api) authenticated(next bunrouter.HandlerFunc) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, request bunrouter.Request) error {
		if !wire.BearerMatches(request.Request, a.options.Token) {
			return writeProblem(w, http.StatusUnauthorized, "unauthorized", "give the administration token as a bearer token")
		}
		return next(w, request)
	}
}

func (a api) health(w http.ResponseWriter, _ bunrouter.Request) error {
	return writeJSON(w, http.StatusOK, map[string]string{"status": "alive"})
}

func (a api) ready(w http.ResponseWriter, _ bunrouter.Request) error {
	if err := a.options.Ready(); err != nil {
		return writeProblem(w, http.StatusServiceUnavailable, "not_ready", err.Error())
	}
	return writeJSON(w, http.StatusOK, map[string]string{"status": "ready"})
}

func (a api) status(w http.ResponseWriter, _ bunrouter.Request) error {
	whole := map[string]any{}
	for name, section := range a.options.Sections {
		whole[name] = section()
	}
	return writeJSON(w, http.StatusOK, whole)
}

func (a api) section(w http.ResponseWriter, request bunrouter.Request) error {
	section, ok := a.options.Sections[request.Param("section")]
	if !ok {
		return writeProblem(w, http.StatusNotFound, "no_section", fmt.Sprintf("no section is named %q", request.Param("section")))
	}
	return writeJSON(w, http.StatusOK, section())
}

// defaultAuditLimit is the maximum number of events in a response if the request
// sets none.
const defaultAuditLimit = 200

func (a api) audit(w http.ResponseWriter, request bunrouter.Request) error {
	query := request.URL.Query()
	after, err := parseNumber(query.Get("after"), 0)
	if err != nil {
		return writeProblem(w, http.StatusBadRequest, "bad_after", "after must be a sequence number")
	}
	limit, err := parseNumber(query.Get("limit"), defaultAuditLimit)
	if err != nil {
		return writeProblem(w, http.StatusBadRequest, "bad_limit", "limit must be a number")
	}
	return writeJSON(w, http.StatusOK, a.options.Trail.Since(after, int(limit)))
}

func parseNumber(text string, fallback uint64) (uint64, error) {
	if text == "" {
		return fallback, nil
	}
	return strconv.ParseUint(text, 10, 31)
}

func writeJSON(w http.ResponseWriter, status int, value any) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func writeProblem(w http.ResponseWriter, status int, code, detail string) error {
	return writeJSON(w, status, Problem{Code: code, Detail: detail})
}

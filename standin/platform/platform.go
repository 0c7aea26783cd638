// Package platform simulates what the platform publishes: the configuration
// folder with its watch, and the list of hosts. It can be made to fail or to serve
// a stale revision, and it counts its calls.
package platform

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/uptrace/bunrouter"

	"arbutusdeck/core/config"
	core "arbutusdeck/core/platform"
)

// Server serves the simulated platform.
type Server struct {
	mu       sync.Mutex
	revision uint64
	files    []config.File
	hosts    []core.Host
	changed  chan struct{}
	down     bool
	stale    *published // served instead of the current revision, if set
	calls    int
}

type published struct {
	revision uint64
	files    []config.File
}

// New returns a platform with an empty folder.
func New() *Server { return &Server{changed: make(chan struct{})} }

// Publish replaces the folder's files and returns the new revision.
func (s *Server) Publish(files []config.File) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.files = files
	s.notifyWatchers()
	return s.revision
}

// SetHosts replaces the list of hosts.
func (s *Server) SetHosts(hosts []core.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = hosts
}

// SetDown makes every call fail with 503 while down is true.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notifyWatchers()
}

// ServeStale keeps serving the current revision, whatever is published, until
// ServeCurrent.
func (s *Server) ServeStale() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = &published{s.revision, s.files}
}

// ServeCurrent ends ServeStale: the last published revision is served again.
func (s *Server) ServeCurrent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = nil
	s.notifyWatchers()
}

// Calls returns the number of calls so far.
func (s *Server) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Server) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Handler serves the platform's protocol.
func (s *Server) Handler() http.Handler {
	router := bunrouter.New()
	router.GET("/v1/folder", s.countCalls(s.serveManifest))
	router.GET("/v1/folder/:revision/:name", s.countCalls(s.serveFile))
	router.GET("/v1/hosts", s.countCalls(s.serveHosts))
	return router
}

func (s *Server) countCalls(next bunrouter.HandlerFunc) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		s.mu.Lock()
		s.calls++
		down := s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return nil
		}
		return next(w, r)
	}
}

// served returns the revision to serve, whether calls fail, and a channel that the
// next change closes.
func (s *Server) served() (published, bool, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stale != nil {
		return *s.stale, s.down, s.changed
	}
	return published{s.revision, s.files}, s.down, s.changed
}

func (s *Server) serveManifest(w http.ResponseWriter, r bunrouter.Request) error {
	above, _ := strconv.ParseUint(r.URL.Query().Get("above"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	timeout := time.After(wait)
	for {
		current, down, changed := s.served()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return nil
		}
		if current.revision > above {
			return json.NewEncoder(w).Encode(manifestOf(current))
		}
		select {
		case <-changed:
		case <-timeout:
			w.WriteHeader(http.StatusNoContent)
			return nil
		case <-r.Context().Done():
			return nil
		}
	}
}

func manifestOf(p published) config.Manifest {
	manifest := config.Manifest{Revision: p.revision}
	for _, file := range p.files {
		manifest.Files = append(manifest.Files, config.FileRef{Name: file.Name, Digest: config.FileDigest(file)})
	}
	return manifest
}

func (s *Server) serveFile(w http.ResponseWriter, r bunrouter.Request) error {
	current, _, _ := s.served()
	name, _ := url.PathUnescape(r.Param("name"))
	if r.Param("revision") != strconv.FormatUint(current.revision, 10) {
		w.WriteHeader(http.StatusGone)
		return nil
	}
	for _, file := range current.files {
		if file.Name == name {
			_, err := w.Write(file.Content)
			return err
		}
	}
	w.WriteHeader(http.StatusNotFound)
	return nil
}

func (s *Server) serveHosts(w http.ResponseWriter, _ bunrouter.Request) error {
	s.mu.Lock()
	hosts := append([]core.Host{}, s.hosts...)
	s.mu.Unlock()
	return json.NewEncoder(w).Encode(hosts)
}

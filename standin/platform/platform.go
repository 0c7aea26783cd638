// Package platform is a stand-in for what the platform publishes: the
// configuration folder with its watch, and the list of hosts. Switches make it
// fail or serve stale contents; it counts its calls.
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

// Server is the stand-in.
type Server struct {
	mu       sync.Mutex
	revision uint64
	files    []config.File
	hosts    []core.Host
	changed  chan struct{}
	down     bool
	stale    *published // served instead of the present contents
	calls    int
}

type published struct {
	revision uint64
	files    []config.File
}

// New returns a platform with an empty folder.
func New() *Server { return &Server{changed: make(chan struct{})} }

// Publish replaces the folder under the next revision and returns that.
func (s *Server) Publish(files []config.File) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.files = files
	s.signal()
	return s.revision
}

// SetHosts replaces the list of hosts.
func (s *Server) SetHosts(hosts []core.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = hosts
}

// SetDown makes every call fail.
func (s *Server) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.signal()
}

// ServeStale keeps serving the present contents, whatever is published, until Thaw.
func (s *Server) ServeStale() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = &published{s.revision, s.files}
}

// ServeCurrent ends Freeze.
func (s *Server) ServeCurrent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = nil
	s.signal()
}

// Calls returns the number of calls so far.
func (s *Server) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Server) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Handler serves the platform's protocol.
func (s *Server) Handler() http.Handler {
	router := bunrouter.New()
	router.GET("/v1/folder", s.counted(s.watch))
	router.GET("/v1/folder/:revision/:name", s.counted(s.read))
	router.GET("/v1/hosts", s.counted(s.list))
	return router
}

func (s *Server) counted(next bunrouter.HandlerFunc) bunrouter.HandlerFunc {
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

// contents returns what is served now, and a channel closed by the next change.
func (s *Server) contents() (published, bool, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stale != nil {
		return *s.stale, s.down, s.changed
	}
	return published{s.revision, s.files}, s.down, s.changed
}

func (s *Server) watch(w http.ResponseWriter, r bunrouter.Request) error {
	above, _ := strconv.ParseUint(r.URL.Query().Get("above"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	timeout := time.After(wait)
	for {
		now, down, changed := s.contents()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return nil
		}
		if now.revision > above {
			return json.NewEncoder(w).Encode(manifestOf(now))
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

func (s *Server) read(w http.ResponseWriter, r bunrouter.Request) error {
	now, _, _ := s.contents()
	name, _ := url.PathUnescape(r.Param("name"))
	if r.Param("revision") != strconv.FormatUint(now.revision, 10) {
		w.WriteHeader(http.StatusGone)
		return nil
	}
	for _, file := range now.files {
		if file.Name == name {
			_, err := w.Write(file.Content)
			return err
		}
	}
	w.WriteHeader(http.StatusNotFound)
	return nil
}

func (s *Server) list(w http.ResponseWriter, _ bunrouter.Request) error {
	s.mu.Lock()
	hosts := append([]core.Host{}, s.hosts...)
	s.mu.Unlock()
	return json.NewEncoder(w).Encode(hosts)
}

package fleet

import "time"

// Delays and sizes of an entry's calls to the platform's store.
const (
	// callTime is the duration of one call.
	callTime = 5 * time.Millisecond
	// storeRetry is the delay before the retry of a refused call.
	storeRetry = 300 * time.Millisecond
	// rowsPerPage is the number of rows in a page of the server list.
	rowsPerPage = 150
	// rowBytes is the size of a server's row in a view, configurationBytes that of a configuration with some hundred
	// workspaces.
	rowBytes           = 150
	configurationBytes = 60_000
)

func viewBytes(servers int) int { return servers*rowBytes + configurationBytes }

// store simulates the platform's store.
type store struct {
	fleet    *fleet
	revision uint64
	// refused holds the entries whose calls fail.
	refused map[*entry]bool
	// watches complete the open watch calls.
	watches []func()
}

// readAll reads all pages of the server list, and the configuration.
func (s *store) readAll(e *entry, done func(ok bool)) {
	if s.refused[e] {
		s.fleet.result.StoreCalls++
		e.after(callTime, func() { done(false) })
		return
	}
	pages := (s.fleet.options.Servers+rowsPerPage-1)/rowsPerPage + 1
	s.fleet.result.StoreCalls += pages
	bytes := viewBytes(s.fleet.options.Servers) * 4 / 3 // base64
	e.after(time.Duration(pages)*callTime+transfer(bytes, e.linkMbps), func() { done(true) })
}

// watch returns at the next change, or after wait without one.
func (s *store) watch(e *entry, wait time.Duration, done func(ok bool)) {
	s.fleet.result.StoreCalls++
	if s.refused[e] {
		e.after(callTime, func() { done(false) })
		return
	}
	completed := false
	complete := func() {
		if !completed {
			completed = true
			e.after(callTime, func() { done(!s.refused[e]) })
		}
	}
	s.watches = append(s.watches, complete)
	e.after(wait, complete)
}

// change writes one row, which completes all open watch calls.
func (s *store) change() {
	s.revision++
	s.fleet.result.changed(s.revision, s.fleet.clock.Now)
	watches := s.watches
	s.watches = nil
	for _, complete := range watches {
		complete()
	}
}

package fleet

import "time"

// Times of the platform's store and of an entry's calls to it.
const (
	// callTime is the time of one call.
	callTime = 5 * time.Millisecond
	// storeRetry is the pause after a call that was turned away.
	storeRetry = 300 * time.Millisecond
	// rowsAPage is how many rows a page of the list holds.
	rowsAPage = 150
	// rowBytes is a server's row in a view, configurationBytes a configuration of some hundred workspaces.
	rowBytes           = 150
	configurationBytes = 60_000
)

func viewBytes(servers int) int { return servers*rowBytes + configurationBytes }

// store is the platform's store.
type store struct {
	fleet    *fleet
	revision uint64
	// refused are the entries that are turned away.
	refused map[*entry]bool
	// waiting are the calls that wait for a change.
	waiting []func()
}

// readAll reads all pages of the list, and the configuration.
func (s *store) readAll(e *entry, done func(ok bool)) {
	if s.refused[e] {
		s.fleet.result.StoreCalls++
		e.later(callTime, func() { done(false) })
		return
	}
	pages := (s.fleet.options.Servers+rowsAPage-1)/rowsAPage + 1
	s.fleet.result.StoreCalls += pages
	bytes := viewBytes(s.fleet.options.Servers) * 4 / 3 // base64
	e.later(time.Duration(pages)*callTime+transfer(bytes, e.linkMbps), func() { done(true) })
}

// watch waits for a change.
func (s *store) watch(e *entry, wait time.Duration, done func(ok bool)) {
	s.fleet.result.StoreCalls++
	if s.refused[e] {
		e.later(callTime, func() { done(false) })
		return
	}
	over := false
	end := func() {
		if !over {
			over = true
			e.later(callTime, func() { done(!s.refused[e]) })
		}
	}
	s.waiting = append(s.waiting, end)
	e.later(wait, end)
}

// change writes a row.
func (s *store) change() {
	s.revision++
	s.fleet.result.changed(s.revision, s.fleet.clock.Now)
	waiting := s.waiting
	s.waiting = nil
	for _, end := range waiting {
		end()
	}
}

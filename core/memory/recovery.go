package memory

import "time"

// EngineStream is a stream that an engine reports to hold memory.
type EngineStream struct {
	Engine string
	ID     string
	Tokens int64
}

// Recovery decides over the streams that a daemon finds on its engines after a
// start. They belong to the attempts of a former incarnation: no entry can reach
// them any more, since every message names the incarnation it was meant for.
// They get one grace, in which an owner may still claim them, and are cancelled
// then. Without it a killed daemon would leave its engines' memory occupied.
type Recovery struct {
	grace  time.Duration
	found  map[streamKey]time.Time
	leases *Leases
}

type streamKey struct{ engine, id string }

// NewRecovery returns a recovery that books what it finds in leases.
func NewRecovery(grace time.Duration, leases *Leases) *Recovery {
	return &Recovery{grace: grace, found: map[streamKey]time.Time{}, leases: leases}
}

// Observe takes in what one engine holds and returns the streams to cancel:
// those that nobody owns and whose grace is over. owned says whether this
// incarnation knows the stream.
func (r *Recovery) Observe(now time.Time, engine string, streams []EngineStream, owned func(id string) bool) []EngineStream {
	var cancel []EngineStream
	present := map[streamKey]bool{}
	for _, stream := range streams {
		key := streamKey{engine, stream.ID}
		present[key] = true
		if owned(stream.ID) {
			delete(r.found, key)
			continue
		}
		since, known := r.found[key]
		if !known {
			r.found[key] = now
			r.leases.AdoptOrphan(Lease{Owner: stream.ID, Engine: engine, Tokens: stream.Tokens, Expires: now.Add(2 * r.grace)})
			continue
		}
		if now.Sub(since) >= r.grace {
			cancel = append(cancel, stream)
		}
	}
	r.forget(now, engine, present)
	return cancel
}

// forget frees the leases of orphans that the engine no longer holds.
func (r *Recovery) forget(now time.Time, engine string, present map[streamKey]bool) {
	for key := range r.found {
		if key.engine == engine && !present[key] {
			delete(r.found, key)
			r.leases.Release(now, key.id)
		}
	}
}

// Orphans returns the number of streams without an owner.
func (r *Recovery) Orphans() int { return len(r.found) }

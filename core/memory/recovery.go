package memory

import "time"

// EngineStream is a stream that holds memory according to its engine.
type EngineStream struct {
	Engine string
	ID     string
	Tokens int64
}

// Recovery cancels orphaned streams, which a daemon finds on its engines after a
// start. They belong to attempts of a previous incarnation, and no entry can reach
// them, since every message names its target incarnation. They are cancelled after a
// grace period in which an owner may still claim them. Without recovery the crash of
// a daemon would leave its engines' memory occupied.
type Recovery struct {
	grace  time.Duration
	found  map[streamKey]time.Time
	leases *Leases
}

type streamKey struct{ engine, id string }

// NewRecovery returns a Recovery that leases the memory of orphaned streams.
func NewRecovery(grace time.Duration, leases *Leases) *Recovery {
	return &Recovery{grace: grace, found: map[streamKey]time.Time{}, leases: leases}
}

// Observe takes the streams of one engine and returns those to cancel: the ones that
// have no owner after the grace period. owned reports whether this incarnation knows
// a stream.
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
	r.releaseVanished(now, engine, present)
	return cancel
}

// releaseVanished releases the leases of orphans that the engine no longer has.
func (r *Recovery) releaseVanished(now time.Time, engine string, present map[streamKey]bool) {
	for key := range r.found {
		if key.engine == engine && !present[key] {
			delete(r.found, key)
			r.leases.Release(now, key.id)
		}
	}
}

// Orphans returns the number of known streams without an owner.
func (r *Recovery) Orphans() int { return len(r.found) }

// Package memory accounts for the KV memory of a host's engines. All memory in use
// is covered by leases with an owner and an expiry, so that no failure leaks memory
// for good. Sizes are in tokens.
package memory

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Errors of Leases; they are wrapped with the engine and sizes.
var (
	ErrUnknownEngine      = errors.New("no such engine")
	ErrInsufficientMemory = errors.New("not enough free memory")
)

// Lease is memory of one engine held for one owner.
type Lease struct {
	// Owner is an attempt or a group reservation.
	Owner  string
	Engine string
	Tokens int64
	// Expires is zero while the owner's stream is connected.
	Expires time.Time
	// Orphan marks memory of a stream that was found on an engine and has no owner.
	Orphan bool
}

type leaseKey struct{ owner, engine string }

// Leases is the lease table of one host daemon.
type Leases struct {
	capacity map[string]int64
	leases   map[leaseKey]Lease
	released map[string]time.Time // recently released owners, with the time to drop them
}

// NewLeases returns an empty lease table.
func NewLeases() *Leases {
	return &Leases{capacity: map[string]int64{}, leases: map[leaseKey]Lease{}, released: map[string]time.Time{}}
}

// Configure sets the capacity of each engine in tokens.
func (l *Leases) Configure(capacity map[string]int64) { l.capacity = maps.Clone(capacity) }

// releasedRetention is the time for which a release is recorded. Otherwise a
// reservation message that was overtaken by its release would take memory that
// nobody releases before the lease expires. Messages are valid for seconds.
const releasedRetention = time.Minute

// Grant leases memory, all or nothing. A second grant to the same owner on the same
// engine changes the expiry only, which makes duplicate messages harmless. Errors
// wrap ErrUnknownEngine or ErrInsufficientMemory.
func (l *Leases) Grant(now time.Time, lease Lease) error {
	capacity, ok := l.capacity[lease.Engine]
	if !ok {
		return fmt.Errorf("%w: %s", ErrUnknownEngine, lease.Engine)
	}
	if _, wasReleased := l.released[lease.Owner]; wasReleased {
		return fmt.Errorf("%w: %s was released already", ErrInsufficientMemory, lease.Owner)
	}
	key := leaseKey{lease.Owner, lease.Engine}
	if held, ok := l.leases[key]; ok {
		held.Expires, held.Orphan = lease.Expires, false
		l.leases[key] = held
		return nil
	}
	if used := l.Used(lease.Engine); used+lease.Tokens > capacity {
		return fmt.Errorf("%w on %s: %d of %d tokens are used, %d are asked for", ErrInsufficientMemory, lease.Engine, used, capacity, lease.Tokens)
	}
	l.leases[key] = lease
	return nil
}

// AdoptOrphan leases memory that an engine already uses for a stream that was found
// after a start. The lease may exceed the capacity, because the memory is in use.
func (l *Leases) AdoptOrphan(lease Lease) {
	lease.Orphan = true
	l.leases[leaseKey{lease.Owner, lease.Engine}] = lease
}

// Renew sets the expiry of all leases of an owner; the zero time means no expiry. It
// reports false if the owner has no lease.
func (l *Leases) Renew(owner string, expires time.Time) bool {
	found := false
	for key, lease := range l.leases {
		if key.owner == owner {
			lease.Expires = expires
			l.leases[key] = lease
			found = true
		}
	}
	return found
}

// Release ends all leases of an owner. It is idempotent.
func (l *Leases) Release(now time.Time, owner string) {
	for key := range l.leases {
		if key.owner == owner {
			delete(l.leases, key)
		}
	}
	l.released[owner] = now.Add(releasedRetention)
}

// Used returns the sum of an engine's leases.
func (l *Leases) Used(engine string) int64 {
	var sum int64
	for key, lease := range l.leases {
		if key.engine == engine {
			sum += lease.Tokens
		}
	}
	return sum
}

// List lists the leases by engine and owner.
func (l *Leases) List() []Lease {
	rows := slices.Collect(maps.Values(l.leases))
	slices.SortFunc(rows, func(a, b Lease) int {
		return cmp.Or(cmp.Compare(a.Engine, b.Engine), cmp.Compare(a.Owner, b.Owner))
	})
	return rows
}

// Tick ends the leases that have expired and returns them; the caller has to cancel
// their streams on the engines.
func (l *Leases) Tick(now time.Time) []Lease {
	var expired []Lease
	for key, lease := range l.leases {
		if !lease.Expires.IsZero() && !now.Before(lease.Expires) {
			expired = append(expired, lease)
			delete(l.leases, key)
		}
	}
	for owner, expiresAt := range l.released {
		if !now.Before(expiresAt) {
			delete(l.released, owner)
		}
	}
	slices.SortFunc(expired, func(a, b Lease) int {
		return cmp.Or(cmp.Compare(a.Engine, b.Engine), cmp.Compare(a.Owner, b.Owner))
	})
	return expired
}

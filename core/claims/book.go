package claims

import (
	"maps"
	"slices"
	"time"
)

// Options are the times that bound what a Book keeps.
type Options struct {
	// ReportTTL is the time after which a claim of another entry ends unless it is reported again. An entry that is
	// killed, suspended or cut off holds memory back no longer.
	ReportTTL time.Duration
}

// Book holds the claims of a zone as one entry knows them. It is not safe for concurrent use.
type Book struct {
	options Options
	claims  map[string]*entry
	// withdrawn holds the claims of others that ended lately: a report that was overtaken by the withdrawal must not
	// open the claim again.
	withdrawn map[string]time.Time
}

type entry struct {
	Claim
	// heard is the time of the latest report.
	heard time.Time
}

// New returns an empty book.
func New(options Options) *Book {
	return &Book{options: options, claims: map[string]*entry{}, withdrawn: map[string]time.Time{}}
}

// State adds a claim of this entry or replaces it. It returns false if this entry has too many.
func (b *Book) State(now time.Time, c Claim) bool {
	if b.claims[c.ID] == nil && b.Own() >= MaxOwn {
		return false
	}
	c.From = ""
	b.claims[c.ID] = &entry{c, now}
	return true
}

// Withdraw ends a claim of this entry.
func (b *Book) Withdraw(id string) { delete(b.claims, id) }

// Learn applies a report of another entry. It returns whether memory is held back differently from now on.
func (b *Book) Learn(now time.Time, from string, r Report) bool {
	known := b.claims[r.ID]
	if known != nil && known.From != from {
		return false // a claim is changed only by its own entry
	}
	if r.Withdrawn {
		b.withdrawn[r.ID] = now
		delete(b.claims, r.ID)
		return known != nil
	}
	if _, ended := b.withdrawn[r.ID]; ended || known == nil && len(b.claims) >= MaxOwn+MaxPeers {
		return false
	}
	b.claims[r.ID] = &entry{r.claim(now, from), now}
	return known == nil || !slices.Equal(known.Parts, r.Parts)
}

// ForgetPeer ends the claims of another entry, since it has restarted or stopped.
func (b *Book) ForgetPeer(from string) {
	maps.DeleteFunc(b.claims, func(_ string, c *entry) bool { return from != "" && c.From == from })
}

// Expire ends the claims whose time is over, and those of entries that are not heard any more.
func (b *Book) Expire(now time.Time) {
	maps.DeleteFunc(b.claims, func(_ string, c *entry) bool { return !c.open(now, b.options.ReportTTL) })
	maps.DeleteFunc(b.withdrawn, func(_ string, at time.Time) bool { return now.Sub(at) > b.options.ReportTTL })
}

func (c *entry) open(now time.Time, ttl time.Duration) bool {
	return now.Before(c.Until) && (c.From == "" || now.Sub(c.heard) <= ttl)
}

// Get returns a claim; false if it isn't open.
func (b *Book) Get(now time.Time, id string) (Claim, bool) {
	c := b.claims[id]
	if c == nil || !c.open(now, b.options.ReportTTL) {
		return Claim{}, false
	}
	return c.Claim, true
}

// Ordered returns the open claims of a service in their order.
func (b *Book) Ordered(now time.Time, service string) []*Claim {
	var open []*Claim
	for _, c := range b.claims {
		if c.Service == service && c.open(now, b.options.ReportTTL) {
			open = append(open, &c.Claim)
		}
	}
	slices.SortFunc(open, func(a, b *Claim) int { return Compare(now, a, b) })
	return open
}

// Withheld is the memory that is kept for claims at one server.
type Withheld struct {
	// Tokens is the memory that a prompt must leave free.
	Tokens int64
	// Loss is the value that the claims lose for each token taken all the same, in short requests.
	Loss float64
	// For names the first claim in order, and Age is the time since it was last heard; for the log.
	For string
	Age time.Duration
}

// Withheld returns the memory that is kept from a prompt at each server: that of the claims which come before its own.
// It need not have a claim in the book.
func (b *Book) Withheld(now time.Time, of *Claim) map[string]Withheld {
	var kept map[string]Withheld
	for _, c := range b.Ordered(now, of.Service) {
		if c.ID == of.ID || Compare(now, c, of) >= 0 {
			continue
		}
		for _, part := range c.Parts {
			if kept == nil {
				kept = map[string]Withheld{}
			}
			w := kept[part.Server]
			if w.For == "" {
				w.For, w.Age = c.ID, now.Sub(b.claims[c.ID].heard)
			}
			w.Tokens += part.Tokens
			w.Loss = max(w.Loss, c.loss(now)/float64(c.Tokens))
			kept[part.Server] = w
		}
	}
	return kept
}

// Reports returns this entry's claims as they are sent at a time, in a fixed order.
func (b *Book) Reports(now time.Time) []Report {
	var reports []Report
	for _, id := range slices.Sorted(maps.Keys(b.claims)) {
		if c := b.claims[id]; c.From == "" && c.open(now, b.options.ReportTTL) {
			reports = append(reports, c.report(now))
		}
	}
	return reports
}

// Own returns the number of this entry's claims.
func (b *Book) Own() int {
	count := 0
	for _, c := range b.claims {
		if c.From == "" {
			count++
		}
	}
	return count
}

// Open returns the number of claims that are known, and the age of the oldest one.
func (b *Book) Open(now time.Time) (count int, oldest time.Duration) {
	for _, c := range b.claims {
		if c.open(now, b.options.ReportTTL) {
			count++
			oldest = max(oldest, now.Sub(c.Since))
		}
	}
	return count, oldest
}

package forwarding

import (
	"time"

	"arbutusdeck/core/enginemodel"
	"arbutusdeck/core/placement"
)

// Outage takes entries away for a time.
type Outage struct {
	From, For time.Duration
	// Entries is how many of them, from the first on; 0 for all.
	Entries int
	// Power says that they lose power: servers hear nothing of it and go on with their
	// work. Otherwise they are killed, and their connections end.
	Power bool
}

// Spell makes engines slow or takes them away for a time.
type Spell struct {
	From, For time.Duration
	// Engines is how many, from the first on.
	Engines int
	// Slow is the factor by which they are slower; 0 if they crash: their work is lost,
	// and they come back empty.
	Slow float64
}

func ms(d time.Duration) float64 { return d.Seconds() * 1000 }

// scheduleTrouble sets the times of the site's outages and spells.
func (d *day) scheduleTrouble() {
	for _, outage := range d.site.Outages {
		count := outage.Entries
		if count == 0 {
			count = d.site.Entries
		}
		d.at(ms(outage.From), func() { d.takeEntries(count, outage.Power) })
		d.at(ms(outage.From+outage.For), func() { d.returnEntries(count) })
	}
	for _, spell := range d.site.Spells {
		d.at(ms(spell.From), func() { d.beginSpell(spell) })
		d.at(ms(spell.From+spell.For), func() { d.endSpell(spell) })
	}
}

// takeEntries ends the first entries. Callers whose answers break off come back at once.
func (d *day) takeEntries(count int, power bool) {
	for entry := range count {
		d.away[entry] = true
	}
	for _, r := range d.running() {
		if !d.away[r.entry] || r.asleep {
			continue
		}
		if !power {
			d.cancel(r)
		}
		if power && r.id != "" {
			d.orphans = append(d.orphans, orphan{r.id, r.choice, r.events > 0})
		}
		delete(d.jobs, r.id)
		r.id, r.written = "", r.events
		d.comeBack(r)
	}
}

// comeBack makes a caller come back whose connection broke.
func (d *day) comeBack(r *request) {
	if !d.mayReturn(r) {
		return
	}
	d.sleep(r, d.ties.Float64()*reconnectMs)
}

// running returns the requests that are not over.
func (d *day) running() []*request {
	kept := d.live[:0]
	for _, r := range d.live {
		if !r.over {
			kept = append(kept, r)
		}
	}
	d.live = kept
	return kept
}

// orphan is a try whose entry has lost power: its engines work on.
type orphan struct {
	id     string
	choice placement.Choice
	// writing says that events are sent: the first one that reaches the entry's next
	// start is answered with a reset, which ends the work. A read goes on to its end.
	writing bool
}

// endOrphans ends the work whose events reach a started entry.
func (d *day) endOrphans() {
	for _, o := range d.orphans {
		if o.writing {
			d.cancelAt(o.choice, o.id)
		}
	}
	d.orphans = nil
}

// returnEntries starts the first entries anew: they know of nothing, and the others learn
// that what those had begun is over.
func (d *day) returnEntries(count int) {
	for entry := range count {
		d.away[entry] = false
		options := d.options
		options.Zone = zoneName(entry % d.site.Zones)
		d.entries[entry] = placement.NewLoadTable(options)
	}
	d.endOrphans()
	for entry := range count {
		for other := count; other < d.site.Entries; other++ {
			d.entries[other].EndPeerDispatches(d.clock(), entryName(entry))
		}
	}
}

// beginSpell slows or crashes engines.
func (d *day) beginSpell(spell Spell) {
	for _, listed := range d.listed[:spell.Engines] {
		if spell.Slow > 0 {
			d.engines[listed.ID].SetSlowdown(spell.Slow)
			continue
		}
		d.down[listed.ID] = true
		d.engines[listed.ID] = enginemodel.NewBatcher(d.site.Engine)
		for _, r := range d.running() {
			if r.id != "" && r.choice.Server.ID == listed.ID {
				d.entries[r.entry].RecordFailure(d.clock(), listed.ID)
				d.again(r, listed.ID)
			}
		}
	}
}

func (d *day) endSpell(spell Spell) {
	for _, listed := range d.listed[:spell.Engines] {
		d.engines[listed.ID].SetSlowdown(1)
		d.down[listed.ID] = false
	}
}

// maxSends is how many servers a request is sent to at one entry.
const maxSends = 2

// again tries another server after one has failed.
func (d *day) again(r *request, failed string) {
	d.cancel(r)
	d.endTry(r)
	r.written = r.events
	r.excluded = append(r.excluded, failed)
	r.tries++
	if r.sent >= maxSends || r.tries >= maxTries {
		d.comeBack(r)
		return
	}
	d.send(r)
}

package enginemodel

import (
	"cmp"
	"math"
	"slices"
)

// Job is one request, or one part of a divided prompt, at an engine.
type Job struct {
	ID string
	// PromptTokens is the whole prompt; Parts is in how many even parts it is
	// read, 1 for an undivided one.
	PromptTokens int64
	Parts        int
	// Helping says that the engine only reads a part for another one.
	Helping      bool
	AnswerTokens int64
	// Urgency orders admission, 0 first.
	Urgency int
	// Spread says that reservations at several engines hold the prompt; Reserved
	// is what is held here, in tokens, which may be nothing. Otherwise the whole
	// prompt's memory is taken where the answer is written.
	Spread   bool
	Reserved int64
}

// Notice is something that became true at the end of a pass.
type Notice struct {
	ID   string
	Kind NoticeKind
	// Step is the number of the event, from 1.
	Step int
}

// NoticeKind is the kind of a Notice.
type NoticeKind uint8

// Kinds of notices.
const (
	// PartRead: the job's part is read here.
	PartRead NoticeKind = iota + 1
	// Wrote: the answer has one more event.
	Wrote
	// Done: the answer is whole.
	Done
)

type running struct {
	Job
	arrived  uint64
	admitted uint64
	leftMs   float64 // reading time that is left
	left     float64 // prompt tokens that are left
	read     bool
	// released says that all parts are read, wherever.
	released bool
	written  int64
	events   int
}

// Batcher is the state of one engine: it serves the stand-in as well as the
// experiments. Times are in milliseconds of the caller's clock. It is pure.
type Batcher struct {
	engine  Engine
	slow    float64
	next    uint64
	waiting []*running
	active  []*running
	// passEnd is when the pass under way ends; negative while idle.
	passEnd float64
	finish  []*running // reads that end with the pass under way
	writers []*running // answers that the pass under way writes
	// Reread counts the prompt tokens read again after a preemption.
	Reread int64
}

// NewBatcher returns an idle engine.
func NewBatcher(engine Engine) *Batcher { return &Batcher{engine: engine, slow: 1, passEnd: -1} }

// SetSlow makes the engine slower by a factor.
func (b *Batcher) SetSlow(factor float64) { b.slow = factor }

// Submit adds a job; a pass begins at once if the engine is idle.
func (b *Batcher) Submit(now float64, job Job) {
	b.next++
	if job.Parts < 1 {
		job.Parts = 1
	}
	r := &running{Job: job, arrived: b.next}
	r.rewind(&b.engine)
	if job.Helping {
		r.admitted = b.next
		b.active = append(b.active, r)
	} else {
		b.waiting = append(b.waiting, r)
	}
	if b.passEnd < 0 {
		b.begin(now)
	}
}

func (r *running) rewind(e *Engine) {
	r.leftMs = e.ReadMs(r.PromptTokens, r.Parts)
	r.left = float64(r.PromptTokens) / float64(r.Parts)
	r.read, r.released = false, r.Parts == 1
}

// Release tells that all parts of a divided prompt are read. The first token
// follows at once.
func (b *Batcher) Release(now float64, id string) []Notice {
	var notices []Notice
	for _, r := range b.active {
		if r.ID == id && !r.Helping {
			r.released = true
			notices = append(notices, r.firstToken()...)
		}
	}
	if b.passEnd < 0 {
		b.begin(now)
	}
	return notices
}

// firstToken gives the first event, which holds one token, once all is read.
func (r *running) firstToken() []Notice {
	if !r.read || !r.released || r.events > 0 {
		return nil
	}
	r.events, r.written = 1, 1
	return []Notice{{ID: r.ID, Kind: Wrote, Step: 1}}
}

// Cancel ends a job; the pass under way goes on.
func (b *Batcher) Cancel(id string) {
	same := func(r *running) bool { return r.ID == id }
	b.waiting = slices.DeleteFunc(b.waiting, same)
	b.active = slices.DeleteFunc(b.active, same)
	b.finish = slices.DeleteFunc(b.finish, same)
	b.writers = slices.DeleteFunc(b.writers, same)
}

// PassEnd returns when the pass under way ends; false while the engine is idle.
func (b *Batcher) PassEnd() (float64, bool) { return b.passEnd, b.passEnd >= 0 }

// EndPass ends the pass under way, begins the next one and tells what happened.
func (b *Batcher) EndPass(now float64) []Notice {
	var notices []Notice
	for _, r := range b.finish {
		r.read = true
		notices = append(notices, Notice{ID: r.ID, Kind: PartRead})
		if r.Helping {
			b.drop(r)
			continue
		}
		notices = append(notices, r.firstToken()...)
	}
	for _, r := range b.writers {
		r.events++
		r.written += int64(b.engine.Stride)
		notices = append(notices, Notice{ID: r.ID, Kind: Wrote, Step: r.events})
		if r.written >= r.AnswerTokens {
			notices = append(notices, Notice{ID: r.ID, Kind: Done, Step: r.events})
			b.drop(r)
		}
	}
	b.passEnd = -1
	b.begin(now)
	return notices
}

func (b *Batcher) drop(r *running) {
	b.active = slices.DeleteFunc(b.active, func(other *running) bool { return other == r })
}

// begin admits what fits and starts a pass if there is work.
func (b *Batcher) begin(now float64) {
	b.preempt()
	b.admit()
	b.finish, b.writers = nil, nil
	var batch Batch
	for _, r := range b.active {
		if !r.Helping && r.read && r.released {
			b.writers = append(b.writers, r)
			batch.Answers++
			batch.ContextTokens += r.context()
		}
	}
	steps := 1
	if batch.Answers > 0 {
		steps = b.engine.Stride
	}
	spent := b.readFor(steps)
	if batch.Answers == 0 && spent == 0 {
		return
	}
	stepMs := b.engine.PassMs(batch) / float64(b.engine.Stride)
	b.passEnd = now + (stepMs*float64(steps)+spent)*b.slow
}

// readFor reads what the chunks of some steps take, and returns the time.
func (b *Batcher) readFor(steps int) float64 {
	room := float64(b.engine.Chunk) * float64(steps)
	spent := 0.0
	for _, r := range b.readOrder() {
		if room <= 0 {
			break
		}
		tokens := math.Min(room, r.left)
		ms := r.leftMs
		if tokens < r.left {
			ms *= tokens / r.left
		}
		r.left -= tokens
		r.leftMs -= ms
		room -= tokens
		spent += ms
		if r.left <= 0 {
			b.finish = append(b.finish, r)
		}
	}
	return spent
}

// readOrder: parts of divided prompts go first, the newest of them before the
// others; undivided prompts follow by their admission.
func (b *Batcher) readOrder() []*running {
	var order []*running
	for _, r := range b.active {
		if !r.read && r.left > 0 {
			order = append(order, r)
		}
	}
	slices.SortStableFunc(order, func(x, y *running) int {
		divided := func(r *running) int {
			if r.Parts > 1 {
				return 0
			}
			return 1
		}
		if c := cmp.Compare(divided(x), divided(y)); c != 0 {
			return c
		}
		if x.Parts > 1 {
			return cmp.Compare(y.admitted, x.admitted)
		}
		return cmp.Compare(x.admitted, y.admitted)
	})
	return order
}

// context is how many tokens of context each step of the answer looks at here.
func (r *running) context() int64 {
	if r.Spread {
		return r.PromptTokens/int64(r.Parts) + r.written
	}
	return r.PromptTokens + r.written
}

// memory is what the job takes, in tokens.
func (r *running) memory() int64 {
	switch {
	case r.Spread:
		return r.Reserved
	case r.Helping:
		return 0
	}
	return r.PromptTokens + r.written
}

func (b *Batcher) used() int64 {
	sum := int64(0)
	for _, r := range b.active {
		sum += r.memory()
	}
	return sum
}

// admit takes waiting jobs in, the more urgent first, as long as slots and memory
// are free.
func (b *Batcher) admit() {
	slices.SortStableFunc(b.waiting, func(x, y *running) int {
		return cmp.Or(cmp.Compare(x.Urgency, y.Urgency), cmp.Compare(x.arrived, y.arrived))
	})
	for len(b.waiting) > 0 {
		r := b.waiting[0]
		if b.slots() >= b.engine.Slots || b.used()+r.memory() > b.engine.MemoryTokens {
			return
		}
		b.waiting = b.waiting[1:]
		b.next++
		r.admitted = b.next
		b.active = append(b.active, r)
	}
}

func (b *Batcher) slots() int {
	count := 0
	for _, r := range b.active {
		if !r.Helping {
			count++
		}
	}
	return count
}

// preempt puts the newest jobs back while the memory has run out; their prompts
// are read again.
func (b *Batcher) preempt() {
	for b.used() > b.engine.MemoryTokens {
		newest := -1
		for i, r := range b.active {
			if !r.Helping && (newest < 0 || r.admitted > b.active[newest].admitted) {
				newest = i
			}
		}
		if newest < 0 {
			return
		}
		r := b.active[newest]
		b.active = slices.Delete(b.active, newest, newest+1)
		b.Reread += r.PromptTokens
		r.Parts = 1
		r.rewind(&b.engine)
		b.waiting = append(b.waiting, r)
	}
}

// Fits says whether a reservation of some tokens is granted now.
func (b *Batcher) Fits(tokens int64) bool { return b.used()+tokens <= b.engine.MemoryTokens }

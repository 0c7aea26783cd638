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
	// PrefillOnly says that the engine only reads a part for another one.
	PrefillOnly  bool
	AnswerTokens int64
	// Urgency orders admission, 0 first.
	Urgency int
	// Distributed says that reservations at several engines hold the prompt; Reserved
	// is what is held here, in tokens, which may be nothing. Otherwise the whole
	// prompt's memory is taken where the answer is written.
	Distributed bool
	Reserved    int64
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
	// PartPrefilled: the job's part is read here.
	PartPrefilled NoticeKind = iota + 1
	// EventWritten: the answer has one more event.
	EventWritten
	// AnswerComplete: the answer is whole.
	AnswerComplete
)

type activeJob struct {
	Job
	arrivalSeq    uint64
	admissionSeq  uint64
	prefillLeftMs float64 // reading time that is left
	prefillLeft   float64 // prompt tokens that are left
	partPrefilled bool
	// allPrefilled says that all parts are read, wherever.
	allPrefilled bool
	written      int64
	events       int
}

// Batcher is the state of one engine: it serves the stand-in as well as the
// experiments. Times are in milliseconds of the caller's clock. It is pure.
type Batcher struct {
	engine   Engine
	slowdown float64
	lastSeq  uint64
	waiting  []*activeJob
	active   []*activeJob
	// passEnd is when the pass under way ends; negative while idle.
	passEnd   float64
	finishing []*activeJob // reads that end with the pass under way
	writers   []*activeJob // answers that the pass under way writes
	// ReprefilledTokens counts the prompt tokens read again after a preemption.
	ReprefilledTokens int64
}

// NewBatcher returns an idle engine.
func NewBatcher(engine Engine) *Batcher { return &Batcher{engine: engine, slowdown: 1, passEnd: -1} }

// SetSlowdown makes the engine slower by a factor.
func (b *Batcher) SetSlowdown(factor float64) { b.slowdown = factor }

// Submit adds a job; a pass begins at once if the engine is idle.
func (b *Batcher) Submit(now float64, job Job) {
	b.lastSeq++
	if job.Parts < 1 {
		job.Parts = 1
	}
	r := &activeJob{Job: job, arrivalSeq: b.lastSeq}
	r.resetPrefill(&b.engine)
	if job.PrefillOnly {
		r.admissionSeq = b.lastSeq
		b.active = append(b.active, r)
	} else {
		b.waiting = append(b.waiting, r)
	}
	if b.passEnd < 0 {
		b.beginPass(now)
	}
}

func (j *activeJob) resetPrefill(e *Engine) {
	j.prefillLeftMs = e.PrefillMs(j.PromptTokens, j.Parts)
	j.prefillLeft = float64(j.PromptTokens) / float64(j.Parts)
	j.partPrefilled, j.allPrefilled = false, j.Parts == 1
}

// CompletePrefill tells that all parts of a divided prompt are read. The first token
// follows at once.
func (b *Batcher) CompletePrefill(now float64, id string) []Notice {
	var notices []Notice
	for _, r := range b.active {
		if r.ID == id && !r.PrefillOnly {
			r.allPrefilled = true
			notices = append(notices, r.firstToken()...)
		}
	}
	if b.passEnd < 0 {
		b.beginPass(now)
	}
	return notices
}

// firstToken gives the first event, which holds one token, once all is read.
func (j *activeJob) firstToken() []Notice {
	if !j.partPrefilled || !j.allPrefilled || j.events > 0 {
		return nil
	}
	j.events, j.written = 1, 1
	return []Notice{{ID: j.ID, Kind: EventWritten, Step: 1}}
}

// Cancel ends a job; the pass under way goes on.
func (b *Batcher) Cancel(id string) {
	same := func(r *activeJob) bool { return r.ID == id }
	b.waiting = slices.DeleteFunc(b.waiting, same)
	b.active = slices.DeleteFunc(b.active, same)
	b.finishing = slices.DeleteFunc(b.finishing, same)
	b.writers = slices.DeleteFunc(b.writers, same)
}

// PassEnd returns when the pass under way ends; false while the engine is idle.
func (b *Batcher) PassEnd() (float64, bool) { return b.passEnd, b.passEnd >= 0 }

// EndPass ends the pass under way, begins the next one and tells what happened.
func (b *Batcher) EndPass(now float64) []Notice {
	var notices []Notice
	for _, r := range b.finishing {
		r.partPrefilled = true
		notices = append(notices, Notice{ID: r.ID, Kind: PartPrefilled})
		if r.PrefillOnly {
			b.remove(r)
			continue
		}
		notices = append(notices, r.firstToken()...)
	}
	for _, r := range b.writers {
		r.events++
		r.written += int64(b.engine.Stride)
		notices = append(notices, Notice{ID: r.ID, Kind: EventWritten, Step: r.events})
		if r.written >= r.AnswerTokens {
			notices = append(notices, Notice{ID: r.ID, Kind: AnswerComplete, Step: r.events})
			b.remove(r)
		}
	}
	b.passEnd = -1
	b.beginPass(now)
	return notices
}

func (b *Batcher) remove(r *activeJob) {
	b.active = slices.DeleteFunc(b.active, func(other *activeJob) bool { return other == r })
}

// beginPass admits what fits and starts a pass if there is work.
func (b *Batcher) beginPass(now float64) {
	b.preempt()
	b.admit()
	b.finishing, b.writers = nil, nil
	var batch Batch
	for _, r := range b.active {
		if !r.PrefillOnly && r.partPrefilled && r.allPrefilled {
			b.writers = append(b.writers, r)
			batch.Answers++
			batch.ContextTokens += r.context()
		}
	}
	steps := 1
	if batch.Answers > 0 {
		steps = b.engine.Stride
	}
	spent := b.prefillFor(steps)
	if batch.Answers == 0 && spent == 0 {
		return
	}
	stepMs := b.engine.PassMs(batch) / float64(b.engine.Stride)
	b.passEnd = now + (stepMs*float64(steps)+spent)*b.slowdown
}

// prefillFor reads what the chunks of some steps take, and returns the time.
func (b *Batcher) prefillFor(steps int) float64 {
	budget := float64(b.engine.Chunk) * float64(steps)
	spent := 0.0
	for _, r := range b.prefillOrder() {
		if budget <= 0 {
			break
		}
		tokens := math.Min(budget, r.prefillLeft)
		ms := r.prefillLeftMs
		if tokens < r.prefillLeft {
			ms *= tokens / r.prefillLeft
		}
		r.prefillLeft -= tokens
		r.prefillLeftMs -= ms
		budget -= tokens
		spent += ms
		if r.prefillLeft <= 0 {
			b.finishing = append(b.finishing, r)
		}
	}
	return spent
}

// prefillOrder: parts of divided prompts go first, the newest of them before the
// others; undivided prompts follow by their admission.
func (b *Batcher) prefillOrder() []*activeJob {
	var order []*activeJob
	for _, r := range b.active {
		if !r.partPrefilled && r.prefillLeft > 0 {
			order = append(order, r)
		}
	}
	slices.SortStableFunc(order, func(x, y *activeJob) int {
		divided := func(r *activeJob) int {
			if r.Parts > 1 {
				return 0
			}
			return 1
		}
		if c := cmp.Compare(divided(x), divided(y)); c != 0 {
			return c
		}
		if x.Parts > 1 {
			return cmp.Compare(y.admissionSeq, x.admissionSeq)
		}
		return cmp.Compare(x.admissionSeq, y.admissionSeq)
	})
	return order
}

// context is how many tokens of context each step of the answer looks at here.
func (j *activeJob) context() int64 {
	if j.Distributed {
		return j.PromptTokens/int64(j.Parts) + j.written
	}
	return j.PromptTokens + j.written
}

// memory is what the job takes, in tokens.
func (j *activeJob) memory() int64 {
	switch {
	case j.Distributed:
		return j.Reserved
	case j.PrefillOnly:
		return 0
	}
	return j.PromptTokens + j.written
}

func (b *Batcher) usedMemory() int64 {
	sum := int64(0)
	for _, r := range b.active {
		sum += r.memory()
	}
	return sum
}

// admit takes waiting jobs in, the more urgent first, as long as slots and memory
// are free.
func (b *Batcher) admit() {
	slices.SortStableFunc(b.waiting, func(x, y *activeJob) int {
		return cmp.Or(cmp.Compare(x.Urgency, y.Urgency), cmp.Compare(x.arrivalSeq, y.arrivalSeq))
	})
	for len(b.waiting) > 0 {
		r := b.waiting[0]
		if b.usedSlots() >= b.engine.Slots || b.usedMemory()+r.memory() > b.engine.MemoryTokens {
			return
		}
		b.waiting = b.waiting[1:]
		b.lastSeq++
		r.admissionSeq = b.lastSeq
		b.active = append(b.active, r)
	}
}

func (b *Batcher) usedSlots() int {
	count := 0
	for _, r := range b.active {
		if !r.PrefillOnly {
			count++
		}
	}
	return count
}

// preempt puts the newest jobs back while the memory has run out; their prompts
// are read again.
func (b *Batcher) preempt() {
	for b.usedMemory() > b.engine.MemoryTokens {
		newest := -1
		for i, r := range b.active {
			if !r.PrefillOnly && (newest < 0 || r.admissionSeq > b.active[newest].admissionSeq) {
				newest = i
			}
		}
		if newest < 0 {
			return
		}
		r := b.active[newest]
		b.active = slices.Delete(b.active, newest, newest+1)
		b.ReprefilledTokens += r.PromptTokens
		r.Parts = 1
		r.resetPrefill(&b.engine)
		b.waiting = append(b.waiting, r)
	}
}

// Fits says whether a reservation of some tokens is granted now.
func (b *Batcher) Fits(tokens int64) bool { return b.usedMemory()+tokens <= b.engine.MemoryTokens }

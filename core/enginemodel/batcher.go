package enginemodel

import (
	"cmp"
	"math"
	"slices"
)

// Job is one request, or one part of a divided prompt, at an engine.
type Job struct {
	ID string
	// PromptTokens is the length of the whole prompt; Parts is the number of even parts into which it is
	// divided for prefill, 1 for an undivided one.
	PromptTokens int64
	Parts        int
	// PrefillOnly is set if the engine only prefills a part, and another one writes the answer.
	PrefillOnly  bool
	AnswerTokens int64
	// Urgency orders admission; 0 is the most urgent.
	Urgency int
	// Distributed is set if reservations at several engines hold the prompt; Reserved is the reservation here
	// in tokens, which may be 0. Otherwise the engine that writes the answer holds the whole prompt.
	Distributed bool
	Reserved    int64
}

// Notice is the progress of a job at the end of a pass.
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
	// PartPrefilled means that the job's part is prefilled here.
	PartPrefilled NoticeKind = iota + 1
	// EventWritten means that the answer has one more event.
	EventWritten
	// AnswerComplete means that the answer is complete.
	AnswerComplete
)

type activeJob struct {
	Job
	arrivalSeq    uint64
	admissionSeq  uint64
	prefillLeftMs float64 // remaining prefill time
	prefillLeft   float64 // prompt tokens that are not prefilled
	partPrefilled bool
	// allPrefilled is set once all parts are prefilled, here and at the other engines.
	allPrefilled bool
	written      int64
	events       int
}

// Batcher simulates the continuous batching of one engine; the stand-in engine and the experiments use it.
// Times are in milliseconds of the caller's clock. It does no I/O.
type Batcher struct {
	engine   Engine
	slowdown float64
	lastSeq  uint64
	waiting  []*activeJob
	active   []*activeJob
	// passEnd is the end of the current pass; negative while idle.
	passEnd   float64
	finishing []*activeJob // prefills that end with the current pass
	writers   []*activeJob // answers that the current pass writes
	// ReprefilledTokens counts the prompt tokens that are prefilled again after a preemption.
	ReprefilledTokens int64
}

// NewBatcher returns an idle engine.
func NewBatcher(engine Engine) *Batcher { return &Batcher{engine: engine, slowdown: 1, passEnd: -1} }

// SetSlowdown slows the engine down by a factor.
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

// CompletePrefill records that all parts of a divided prompt are prefilled. The first token follows at once
// if the part here is done.
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

// firstToken returns the first event, which holds one token, once the whole prompt is prefilled.
func (j *activeJob) firstToken() []Notice {
	if !j.partPrefilled || !j.allPrefilled || j.events > 0 {
		return nil
	}
	j.events, j.written = 1, 1
	return []Notice{{ID: j.ID, Kind: EventWritten, Step: 1}}
}

// Cancel removes a job; the current pass goes on.
func (b *Batcher) Cancel(id string) {
	same := func(r *activeJob) bool { return r.ID == id }
	b.waiting = slices.DeleteFunc(b.waiting, same)
	b.active = slices.DeleteFunc(b.active, same)
	b.finishing = slices.DeleteFunc(b.finishing, same)
	b.writers = slices.DeleteFunc(b.writers, same)
}

// PassEnd returns the end of the current pass; false while the engine is idle.
func (b *Batcher) PassEnd() (float64, bool) { return b.passEnd, b.passEnd >= 0 }

// EndPass ends the current pass, begins the next one and returns the progress.
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

// beginPass preempts and admits jobs and starts a pass if there is work.
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

// prefillFor prefills up to a chunk for each of some steps, and returns the time it takes in milliseconds.
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

// prefillOrder returns the jobs to prefill: parts of divided prompts first, the newest first; then undivided
// prompts in the order of their admission.
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

// context returns the number of tokens that each step of the answer attends to here.
func (j *activeJob) context() int64 {
	if j.Distributed {
		return j.PromptTokens/int64(j.Parts) + j.written
	}
	return j.PromptTokens + j.written
}

// memory returns the KV memory of the job here, in tokens.
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

// admit admits waiting jobs, the more urgent first, as long as slots and memory are free.
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

// preempt returns the newest jobs to the queue while the memory is exceeded; their prompts are prefilled
// again.
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

// Fits reports whether a reservation of some tokens is granted now.
func (b *Batcher) Fits(tokens int64) bool { return b.usedMemory()+tokens <= b.engine.MemoryTokens }

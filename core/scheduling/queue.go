package scheduling

import (
	"container/heap"
	"time"

	"arbutusdeck/core/execution"
)

// jobHeap orders jobs by the time at which they have to start to meet their
// first-token target.
type jobHeap struct {
	jobs []*queued
}

type queued struct {
	job     *Job
	startBy time.Time
	index   int
}

func (h *jobHeap) Len() int { return len(h.jobs) }

func (h *jobHeap) Less(a, b int) bool {
	x, y := h.jobs[a], h.jobs[b]
	if !x.startBy.Equal(y.startBy) {
		return x.startBy.Before(y.startBy)
	}
	return x.job.sequence < y.job.sequence
}

func (h *jobHeap) Swap(a, b int) {
	h.jobs[a], h.jobs[b] = h.jobs[b], h.jobs[a]
	h.jobs[a].index, h.jobs[b].index = a, b
}

func (h *jobHeap) Push(x any) {
	q := x.(*queued)
	q.index = len(h.jobs)
	h.jobs = append(h.jobs, q)
}

func (h *jobHeap) Pop() any {
	last := h.jobs[len(h.jobs)-1]
	h.jobs[len(h.jobs)-1] = nil
	h.jobs = h.jobs[:len(h.jobs)-1]
	return last
}

// band is the queue of one rank of one hall, fair between workspaces by start-time fair queueing: each workspace has a virtual time that
// grows with the tokens served over its weight, and the least goes first.
type band struct {
	heaps   map[string]*jobHeap
	virtual map[string]float64
	clock   float64
	arrival []*queued // in order of arrival; holes where a job has left
	count   int
	// isolated is set if the band's class is.
	isolated bool
	memory   int64 // of the waiting jobs, in tokens
}

func newBand() *band {
	return &band{heaps: map[string]*jobHeap{}, virtual: map[string]float64{}}
}

func (b *band) push(q *queued) {
	h := b.heaps[q.job.Workspace]
	if h == nil {
		h = &jobHeap{}
		b.heaps[q.job.Workspace] = h
		// A workspace that was idle starts at the present, so that it can't
		// save up service and then crowd the others out.
		b.virtual[q.job.Workspace] = max(b.virtual[q.job.Workspace], b.clock)
	}
	heap.Push(h, q)
	b.arrival = append(b.arrival, q)
	b.count++
	b.memory += q.job.MemoryTokens()
}

func (b *band) remove(q *queued) {
	h := b.heaps[q.job.Workspace]
	heap.Remove(h, q.index)
	if h.Len() == 0 {
		delete(b.heaps, q.job.Workspace)
	}
	q.index = -1
	b.count--
	b.memory -= q.job.MemoryTokens()
	b.trim()
}

// trim drops jobs that have left from the front of the arrival order.
func (b *band) trim() {
	for len(b.arrival) > 0 && b.arrival[0].index < 0 {
		b.arrival[0] = nil
		b.arrival = b.arrival[1:]
	}
	if b.count == 0 {
		b.arrival = nil
		b.forgetIdle()
	}
}

// forgetIdle drops virtual times that are behind the clock: an idle workspace
// starts at the clock anyway.
func (b *band) forgetIdle() {
	for workspace, virtual := range b.virtual {
		if virtual <= b.clock {
			delete(b.virtual, workspace)
		}
	}
}

// oldest returns the job that has waited longest.
func (b *band) oldest() *queued {
	if len(b.arrival) == 0 {
		return nil
	}
	return b.arrival[0]
}

// fair returns the most urgent job of the workspace that was served least.
func (b *band) fair() *queued {
	var best string
	for workspace := range b.heaps {
		if best == "" || b.less(workspace, best) {
			best = workspace
		}
	}
	if best == "" {
		return nil
	}
	return b.heaps[best].jobs[0]
}

func (b *band) less(x, y string) bool {
	if b.virtual[x] != b.virtual[y] {
		return b.virtual[x] < b.virtual[y]
	}
	return x < y
}

// charge counts a dispatched job against its workspace.
func (b *band) charge(job *Job) {
	start := max(b.virtual[job.Workspace], b.clock)
	b.clock = start
	b.virtual[job.Workspace] = start + float64(job.PromptTokens+job.AnswerTokens)/max(job.Weight, 0.01)
}

// next returns the job to try first.
func (b *band) next(now time.Time, policy Policy, ageBound time.Duration) *queued {
	oldest := b.oldest()
	if oldest == nil {
		return nil
	}
	if policy == FirstComeFirstServed || now.Sub(oldest.job.enqueued) > ageBound {
		return oldest
	}
	return b.fair()
}

// position is where a waiting job stands.
type position struct {
	band *band
	q    *queued
}

type positions map[execution.AttemptID]position

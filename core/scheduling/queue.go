package scheduling

import (
	"container/heap"
	"time"

	"arbutusdeck/core/execution"
	"arbutusdeck/core/fairshare"
)

// jobHeap orders jobs by the latest start time that meets their first-token target.
type jobHeap struct {
	jobs []*queuedJob
}

type queuedJob struct {
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
	q := x.(*queuedJob)
	q.index = len(h.jobs)
	h.jobs = append(h.jobs, q)
}

func (h *jobHeap) Pop() any {
	last := h.jobs[len(h.jobs)-1]
	h.jobs[len(h.jobs)-1] = nil
	h.jobs = h.jobs[:len(h.jobs)-1]
	return last
}

// fairQueue is the queue of one rank of one hall. It shares the engines between
// workspaces by start-time fair queueing of their tokens.
type fairQueue struct {
	heaps     map[string]*jobHeap
	order     *fairshare.VirtualTime
	byArrival []*queuedJob // in order of arrival; a removed job stays until it is first
	count     int
	// isolated is set if the class is isolated.
	isolated bool
	memory   int64 // of the waiting jobs, in tokens
}

func newFairQueue() *fairQueue {
	return &fairQueue{heaps: map[string]*jobHeap{}, order: fairshare.NewVirtualTime()}
}

func (f *fairQueue) push(q *queuedJob) {
	h := f.heaps[q.job.Workspace]
	if h == nil {
		h = &jobHeap{}
		f.heaps[q.job.Workspace] = h
		f.order.Activate(q.job.Workspace)
	}
	heap.Push(h, q)
	f.byArrival = append(f.byArrival, q)
	f.count++
	f.memory += q.job.MemoryTokens()
}

func (f *fairQueue) remove(q *queuedJob) {
	h := f.heaps[q.job.Workspace]
	heap.Remove(h, q.index)
	if h.Len() == 0 {
		delete(f.heaps, q.job.Workspace)
	}
	q.index = -1
	f.count--
	f.memory -= q.job.MemoryTokens()
	f.trim()
}

// trim drops removed jobs from the front of the arrival order.
func (f *fairQueue) trim() {
	for len(f.byArrival) > 0 && f.byArrival[0].index < 0 {
		f.byArrival[0] = nil
		f.byArrival = f.byArrival[1:]
	}
	if f.count == 0 {
		f.byArrival = nil
		f.order.DropIdle()
	}
}

// oldest returns the job that has waited longest, or nil.
func (f *fairQueue) oldest() *queuedJob {
	if len(f.byArrival) == 0 {
		return nil
	}
	return f.byArrival[0]
}

// leastServed returns the most urgent job of the workspace with the least virtual
// time, or nil.
func (f *fairQueue) leastServed() *queuedJob {
	var best string
	for workspace := range f.heaps {
		if best == "" || f.order.Less(workspace, best) {
			best = workspace
		}
	}
	if best == "" {
		return nil
	}
	return f.heaps[best].jobs[0]
}

// charge advances the virtual time of a dispatched job's workspace.
func (f *fairQueue) charge(job *Job) {
	f.order.Charge(job.Workspace, job.PromptTokens+job.AnswerTokens, job.Weight)
}

// next returns the job to dispatch first, or nil. A job that has waited longer than
// ageBound goes before the others.
func (f *fairQueue) next(now time.Time, policy Policy, ageBound time.Duration) *queuedJob {
	oldest := f.oldest()
	if oldest == nil {
		return nil
	}
	if policy == FirstComeFirstServed || now.Sub(oldest.job.enqueued) > ageBound {
		return oldest
	}
	return f.leastServed()
}

// position locates a waiting job in its queue.
type position struct {
	queue *fairQueue
	q     *queuedJob
}

type positions map[execution.AttemptID]position

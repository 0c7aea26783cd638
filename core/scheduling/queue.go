package scheduling

import (
	"container/heap"
	"time"

	"arbutusdeck/core/execution"
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
// workspaces by start-time fair queueing: a workspace's virtual time grows with its
// tokens served divided by its weight, and the workspace with the least goes first.
type fairQueue struct {
	heaps       map[string]*jobHeap
	virtualTime map[string]float64
	clock       float64
	byArrival   []*queuedJob // in order of arrival; a removed job stays until it is first
	count       int
	// isolated is set if the class is isolated.
	isolated bool
	memory   int64 // of the waiting jobs, in tokens
}

func newFairQueue() *fairQueue {
	return &fairQueue{heaps: map[string]*jobHeap{}, virtualTime: map[string]float64{}}
}

func (f *fairQueue) push(q *queuedJob) {
	h := f.heaps[q.job.Workspace]
	if h == nil {
		h = &jobHeap{}
		f.heaps[q.job.Workspace] = h
		// An idle workspace restarts at the current virtual time, so that it
		// can't accumulate credit and then starve the others.
		f.virtualTime[q.job.Workspace] = max(f.virtualTime[q.job.Workspace], f.clock)
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
		f.dropIdle()
	}
}

// dropIdle drops virtual times that are not ahead of the clock: an idle workspace
// restarts at the clock anyway.
func (f *fairQueue) dropIdle() {
	for workspace, virtual := range f.virtualTime {
		if virtual <= f.clock {
			delete(f.virtualTime, workspace)
		}
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
		if best == "" || f.less(workspace, best) {
			best = workspace
		}
	}
	if best == "" {
		return nil
	}
	return f.heaps[best].jobs[0]
}

func (f *fairQueue) less(x, y string) bool {
	if f.virtualTime[x] != f.virtualTime[y] {
		return f.virtualTime[x] < f.virtualTime[y]
	}
	return x < y
}

// charge advances the virtual time of a dispatched job's workspace.
func (f *fairQueue) charge(job *Job) {
	start := max(f.virtualTime[job.Workspace], f.clock)
	f.clock = start
	f.virtualTime[job.Workspace] = start + float64(job.PromptTokens+job.AnswerTokens)/max(job.Weight, 0.01)
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

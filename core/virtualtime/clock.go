// Package virtualtime implements a discrete-event clock, which makes tests and
// simulations deterministic.
package virtualtime

import (
	"container/heap"
	"time"
)

// Clock holds the current virtual time and a queue of events. Events at the same
// time run in the order in which they were added. It is not safe for concurrent use.
type Clock struct {
	Now      time.Time
	queue    queue
	sequence uint64
}

type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(a, b int) bool {
	if !q[a].at.Equal(q[b].at) {
		return q[a].at.Before(q[b].at)
	}
	return q[a].sequence < q[b].sequence
}
func (q queue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}

// NewClock returns a Clock that starts at now.
func NewClock(now time.Time) *Clock { return &Clock{Now: now} }

// NextSequence returns a number that no other call returns. Events are numbered in the same
// sequence.
func (c *Clock) NextSequence() uint64 {
	c.sequence++
	return c.sequence
}

// After schedules run to be called by Run after d.
func (c *Clock) After(d time.Duration, run func()) {
	heap.Push(&c.queue, event{c.Now.Add(d), c.NextSequence(), run})
}

// Run advances the clock by d and runs the events that are due.
func (c *Clock) Run(d time.Duration) {
	end := c.Now.Add(d)
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		e := heap.Pop(&c.queue).(event)
		c.Now = e.at
		e.run()
	}
	c.Now = end
}

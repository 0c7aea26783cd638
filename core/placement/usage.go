package placement

import (
	"maps"
	"slices"
	"time"

	"arbutusdeck/core/fairshare"
)

// Usage is what a dispatch has used since it was last reported.
type Usage struct {
	// Workspace is that of the dispatch.
	Workspace uint32
	// Server is the server of the dispatch. Helpers are included in the cost.
	Server string
	// Peer is the entry that reported the dispatch, empty for this entry's own.
	Peer string
	fairshare.Cost
}

// ObserveUsage sets a function that is told what dispatches have used: prefill tokens when the first event comes,
// the held slot and memory at the end, and what was held so far at each ReportUsage. Each use is reported once. A nil
// function, as initially, reports nothing.
func (t *LoadTable) ObserveUsage(observe func(now time.Time, u Usage)) { t.observeUsage = observe }

// ReportUsage reports what the dispatches in progress have used so far. Without it, usage is known only after the end
// of a request, and a workspace could take all slots for as long as its first requests last.
func (t *LoadTable) ReportUsage(now time.Time) {
	if t.observeUsage == nil {
		return
	}
	// In a fixed order, since sums of floating-point numbers depend on it.
	for _, id := range slices.Sorted(maps.Keys(t.active)) {
		t.reportHeld(now, t.active[id])
	}
}

// reportHeld reports the slot and the memory that a dispatch has held since the last report. A dispatch whose end is
// never heard of holds nothing beyond its lifetime.
func (t *LoadTable) reportHeld(now time.Time, a *activeDispatch) {
	if now.After(a.expires) {
		now = a.expires
	}
	held := now.Sub(a.reported)
	if held <= 0 {
		return
	}
	a.reported = now
	memory := int64(0)
	for index := range a.dispatch.parts() {
		memory += a.dispatch.memoryAt(index)
	}
	t.reportCost(now, a, fairshare.Cost{SlotTime: held, MemoryTime: float64(memory) * held.Seconds()})
}

// reportPrefill reports the prompt once: as a whole when the answer has begun, else in proportion to the prefill
// that was predicted to be done at the end.
func (t *LoadTable) reportPrefill(now time.Time, a *activeDispatch, share float64) {
	if a.prefillReported {
		return
	}
	a.prefillReported = true
	if tokens := int64(float64(a.dispatch.PromptTokens) * share); tokens > 0 {
		t.reportCost(now, a, fairshare.Cost{PrefillTokens: tokens})
	}
}

func (t *LoadTable) reportCost(now time.Time, a *activeDispatch, cost fairshare.Cost) {
	t.observeUsage(now, Usage{Workspace: a.dispatch.Workspace, Server: a.dispatch.Server, Peer: a.peer, Cost: cost})
}

// reportEnd reports what a dispatch has used at its end, while its parts are still in the table.
func (t *LoadTable) reportEnd(now time.Time, a *activeDispatch) {
	if t.observeUsage == nil {
		return
	}
	if !a.prefillReported {
		t.reportPrefill(now, a, t.prefilledShare(now, a))
	}
	t.reportHeld(now, a)
}

// prefilledShare returns the predicted share of a dispatch's prefill that is done, from 0 to 1.
func (t *LoadTable) prefilledShare(now time.Time, a *activeDispatch) float64 {
	if a.prefillMs <= 0 {
		return 1
	}
	left := 0.0
	for index := range a.dispatch.parts() {
		id := a.dispatch.Server
		if index > 0 {
			id = a.dispatch.Helpers[index-1]
		}
		s := t.servers[id]
		if s == nil {
			continue
		}
		s.advance(now)
		for _, w := range s.workItems {
			if w.dispatch == &a.dispatch && w.index == index {
				left += w.prefillMs
			}
		}
	}
	return min(max(1-left/a.prefillMs, 0), 1)
}

package execution

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against responses without a limit: those that are kept only for a broken stream go first, then those that are not
// read; one that is read is never dropped.
func TestFramesAreDroppedInOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewRetained(100)
	for id, bytes := range map[AttemptID]int64{"read": 20, "unread": 20, "unread, large": 30, "sent": 10, "sent before": 20} {
		_, ok := r.Reserve(now, id, bytes)
		require.True(t, ok)
		r.Waits(now, id)
	}
	r.Takes("read")
	r.Sent("sent before")
	r.Sent("sent")
	now = now.Add(minUnreadTime - 1)
	dropped, ok := r.Reserve(now, "new", 11)
	require.True(t, ok)
	require.Equal(t, []AttemptID{"sent before"}, dropped)
	dropped, ok = r.Reserve(now, "new", 20)
	require.False(t, ok, "nothing is unread in its first second")
	require.Equal(t, []AttemptID{"sent"}, dropped)
	dropped, ok = r.Reserve(now.Add(1), "new", 20)
	require.True(t, ok)
	require.Equal(t, []AttemptID{"unread, large"}, dropped)
	dropped, ok = r.Reserve(now.Add(1), "new", 48)
	require.True(t, ok)
	require.Equal(t, []AttemptID{"unread"}, dropped)
	require.EqualValues(t, 99, r.Bytes())
	_, ok = r.Reserve(now.Add(time.Hour), "new", 2)
	require.False(t, ok, "the rest is read")
	r.Hold("new", 2)
	r.Release("read", 20)
	r.Release("unread", 20)
	r.Remove("new")
	require.Zero(t, r.Bytes(), "what was dropped is not given back again")
}

// Guards against a list of sent responses that grows while none is dropped.
func TestRemovedResponsesAreForgotten(t *testing.T) {
	r := NewRetained(1000)
	for i := range 10 * minSentLength {
		id := AttemptID(fmt.Sprint(i))
		_, ok := r.Reserve(time.Unix(0, 0), id, 1)
		require.True(t, ok)
		r.Sent(id)
		r.Remove(id)
		require.LessOrEqual(t, len(r.sent), minSentLength+1)
	}
}

// Guards against a response that stands still because what has been sent of it takes all the memory.
func TestFramesThatWereSentAreTrimmed(t *testing.T) {
	w := NewFrameWriter("request", "attempt")
	for range 4 {
		w.Write(make([]byte, 10), "text/plain", 200)
	}
	require.Zero(t, w.Trim(2, 300), "a window is kept for a stream that breaks")
	require.EqualValues(t, 10+FrameOverhead, w.Trim(3, 300))
	require.False(t, w.Holds(1))
	require.True(t, w.Holds(2))
	frames, _ := w.From(2)
	require.Len(t, frames, 3)
	require.EqualValues(t, 2, frames[0].Sequence)
	require.EqualValues(t, 3*(10+FrameOverhead), w.Trim(4, 0))
	w.End(Finished, Refusal{})
	frames, ended := w.From(5)
	require.True(t, ended)
	require.Len(t, frames, 1)
	require.EqualValues(t, 5, frames[0].Sequence)
	require.EqualValues(t, 4, frames[0].Count)
	require.Zero(t, w.Trim(5, 0), "the last frame is kept")
	require.True(t, w.HasBeyond(4))
	require.False(t, w.HasBeyond(5))
}

// Guards against answers of ever more keys: one beyond the limit of all is not kept, and an expired one makes room.
func TestKeptAnswersAreBoundedTogether(t *testing.T) {
	start := time.Unix(5000, 0)
	options := DefaultLedgerOptions()
	options.StartedAt, options.MaxKeptBytes = start.Add(-time.Minute), 15
	l := NewLedger(options, nil)
	kept := func(now time.Time, id AttemptID) bool {
		key := Key{ID: string(id), Issued: true, CreatedAt: now}
		offer := Offer{Attempt: id, Workspace: "w", Service: "s", Key: key, Expires: now.Add(time.Second)}
		require.Equal(t, Accepted, l.Offer(now, offer, func() *Refusal { return nil }).Verdict)
		_, refusal := l.OpenStream(now, id, "")
		require.Nil(t, refusal)
		require.True(t, l.Start(id))
		l.Finish(now, id, Finished, Answer{Body: make([]byte, 10)})
		return l.records[l.recordKey(offer)].Answer.Kept
	}
	require.True(t, kept(start, "first"))
	require.False(t, kept(start, "second"))
	later := start.Add(2 * options.Retention)
	l.expireKeys(later)
	require.True(t, kept(later, "third"))
}

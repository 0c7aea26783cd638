package placement

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against short prompts that are late because they wait for a slot. Several entries that choose at the
// same moment pack one server up to nine tenths of its slots without knowing of each other, and its slots are
// exceeded again and again.
func TestServersAreFilledLessWhereSlotsAreExceeded(t *testing.T) {
	table, servers := newTable(), fleet(3)
	for i := range 13 {
		addAnswer(table, fmt.Sprint("written", i), "s01", shortQuery(servers))
	}
	q := shortQuery(servers)
	require.Equal(t, "s01", choose(t, table, q).Server.ID, "13 of 16 slots are taken")
	for i := range 6 { // peers exceed the slots of s02
		for k := range 17 {
			table.BeginPeerDispatch(start, "other", Dispatch{ID: fmt.Sprint(i, "-", k), Server: "s02", Gap: q.Gap, Lifetime: q.Remaining}, engine)
		}
		table.EndPeerDispatches(start, "other")
	}
	require.Equal(t, "s00", choose(t, table, q).Server.ID)
}

func TestTheShareOfSlotsThatIsFilledIsBounded(t *testing.T) {
	p := packing{share: 0.9}
	for range 100 {
		p.observe(17, 16)
	}
	require.InDelta(t, minPackShare, p.share, 1e-9)
	for range 100 {
		p.observe(7, 16)
	}
	require.InDelta(t, minPackShare, p.share, 1e-9, "a server that is not packed tells nothing")
	for range 10_000 {
		p.observe(12, 16)
	}
	require.InDelta(t, maxPackShare, p.share, 1e-9)
}

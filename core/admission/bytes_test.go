package admission

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAByteBudgetHoldsItsLimit(t *testing.T) {
	b := NewByteBudget(10)
	require.True(t, b.Reserve(6))
	require.False(t, b.Reserve(5))
	require.True(t, b.Reserve(4))
	b.SetLimit(3)
	require.EqualValues(t, 10, b.Reserved(), "bytes reserved beyond a new limit stay reserved")
	b.Release(8)
	require.False(t, b.Reserve(2))
	require.True(t, b.Reserve(1))
	require.EqualValues(t, 3, b.Reserved())
}

package account

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// line returns one log line of an entry.
func line(ms int, entry, message, fields string) string {
	return fmt.Sprintf(`{"msg":%q,"time":%q,"name":%q,%s}`+"\n", message, stamp(ms), entry, fields)
}

// An entry logs its counts since its start repeatedly and is restarted in between. The counts of its earlier runs must
// be neither lost nor counted twice.
func TestTrafficIsSummedOverRestarts(t *testing.T) {
	counts := func(messages, bytes, calls int) string {
		return fmt.Sprintf(`"exchanged":{"sent.far":{"heartbeat":[%d,%d]}},"storeCalls":{"watch":%d}`, messages, bytes, calls)
	}
	a, _ := read(t,
		line(0, "e1", messageStarted, `"linkMbps":20`)+line(10, "e1", messageExchange, counts(1, 100, 1))+line(20, "e1", messageExchange, counts(3, 300, 2))+
			line(30, "e1", messageStarted, `"linkMbps":20`)+line(40, "e1", messageExchange, counts(2, 200, 1)),
		line(15, "e2", messageExchange, counts(10, 1000, 5)))
	rows, calls := a.Traffic()
	require.Equal(t, []TrafficRow{{Direction: "sent.far", Kind: "heartbeat", Messages: 15, Bytes: 1500, MaxBytes: 1000, MaxEntry: "e2"}}, rows)
	require.Equal(t, map[string]int64{"watch": 8}, calls)
	var out bytes.Buffer
	require.NoError(t, a.WriteTraffic(&out))
	require.Contains(t, out.String(), "sent.far")
}

// The delays of a change count from the first entry that logs it, and must not include entries that learn it at their
// start.
func TestPropagationDelayCountsFromTheFirstEntry(t *testing.T) {
	serves := func(entry string) string { return line(0, entry, messageState, `"to":"serving"`) }
	change := `"server":"i-1","to":"leaving","revision":7`
	a, bad := read(t,
		serves("e1")+line(100, "e1", messageServer, change)+line(5000, "e1", messageConfiguration, `"version":9`),
		serves("e2")+line(130, "e2", messageServer, change)+line(95, "e2", messageServer, change)+line(5040, "e2", messageConfiguration, `"version":9`),
		line(900, "e3", messageServer, change)+line(950, "e3", messageState, `"to":"serving"`)+line(5300, "e3", messageConfiguration, `"version":9`),
		line(10, "e4", "the division of the servers by zone has changed", `"to":["a"]`))
	require.Empty(t, bad)
	leaving, configuration := a.propagation.byKind["server leaving"], a.propagation.byKind["configuration"]
	require.EqualValues(t, 3, leaving.delays.TotalCount(), "also by a clock that is behind")
	require.EqualValues(t, 30, leaving.maxMs)
	require.Equal(t, "e2", leaving.maxEntry)
	require.Equal(t, 1, configuration.changes)
	require.EqualValues(t, 300, configuration.maxMs)
	require.Equal(t, "e3", configuration.maxEntry)
}

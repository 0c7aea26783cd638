package peering

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/claims"
	"arbutusdeck/core/placement"
	"arbutusdeck/core/quarantine"
	"arbutusdeck/core/ratelimit"
	"arbutusdeck/core/zonestate"
)

func dispatchMessage() Message {
	return Message{From: "10.1.0.40:8229", Incarnation: "5f1c07a2", Version: 18, Revision: 1234,
		Dispatches: []placement.Dispatch{{ID: "2kq0x1v9m4c7z", Server: "i-3888e856cb", Helpers: []string{"i-4097e082f0"}, PromptTokens: 27_000, AnswerTokens: 1600,
			Gap: 600 * time.Millisecond, Target: 1500 * time.Millisecond, Lifetime: 10 * time.Second}}}
}

func TestAMessageIsReadAsItWasWritten(t *testing.T) {
	m := dispatchMessage()
	m.FirstEvents, m.Ended, m.KnownPeers, m.Stopping = []string{"a"}, []string{"b", "c"}, []string{"10.2.0.1:8229"}, true
	m.Dispatches[0].Reserved = []int64{200_000, 0}
	data, err := Encode(m)
	require.NoError(t, err)
	read, err := Decode(data)
	require.NoError(t, err)
	require.Equal(t, m, read)
}

// A message goes to every entry at every dispatch, first event and end of a request.
func TestAMessageIsShort(t *testing.T) {
	data, err := Encode(dispatchMessage())
	require.NoError(t, err)
	text, err := json.Marshal(dispatchMessage())
	require.NoError(t, err)
	require.Less(t, len(data), 130)
	require.Greater(t, len(text), 2*len(data))
}

// A truncated datagram, or one of another program, must be refused rather than half read.
func TestAMessageThatIsCutShortIsRefused(t *testing.T) {
	data, err := Encode(dispatchMessage())
	require.NoError(t, err)
	for n := range data {
		_, err := Decode(data[:n])
		require.Error(t, err, n)
	}
	_, err = Decode([]byte("{}"))
	require.Error(t, err)
}

// A newer entry sends a field that this version does not know.
func TestUnknownFieldsAreIgnored(t *testing.T) {
	data := []byte{0xa2, 0x01, 0x61, 'a', 0x18, 0x63, 0x05} // {1: "a", 99: 5}
	m, err := Decode(data)
	require.NoError(t, err)
	require.Equal(t, Message{From: "a"}, m)
}

// A faulty entry sends a request with memory reserved at more servers than it names. The entries that received it
// crashed, and crashed again after their restart, as open requests are sent again.
func TestAnInvalidMessageIsRefused(t *testing.T) {
	for name, breaks := range map[string]func(*Message){
		"held at fewer servers": func(m *Message) { m.Dispatches[0].Reserved = []int64{1} },
		"negative tokens":       func(m *Message) { m.Dispatches[0].PromptTokens = -1 },
		"too many tokens":       func(m *Message) { m.Dispatches[0].AnswerTokens = 1 << 40 },
		"too long":              func(m *Message) { m.Dispatches[0].Lifetime = 1 << 60 },
		"too many entries":      func(m *Message) { m.EntryCount = maxEntries + 1 },
		"less than none":        func(m *Message) { m.ZoneSummaries = []ZoneSummary{{EntryCount: -1}} },
		"a zone's state":        func(m *Message) { m.Summary = &zonestate.Summary{} },
		"a zone's state passed on": func(m *Message) {
			m.ZoneSummaries = []ZoneSummary{{Zone: "a", Summary: &zonestate.Summary{Version: 1, Services: []zonestate.ServiceState{{Service: "a", FreeSlots: 1}}}}}
		},
		"from the future": func(m *Message) { m.ZoneSummaries = []ZoneSummary{{Age: -1}} },
		"a question": func(m *Message) {
			m.PlacementRequest = &PlacementRequest{Dispatch: placement.Dispatch{PromptTokens: -1}}
		},
		"a limit":         func(m *Message) { m.Limits = []ratelimit.Statement{{Server: "i-1", Limited: true, PerSecond: -1}} },
		"a limit to come": func(m *Message) { m.Limits = []ratelimit.Statement{{Server: "i-1", Age: -1}} },
		"a claim":         func(m *Message) { m.Claims = []claims.Report{{ID: "c", Service: "engines"}} },
		"a place":         func(m *Message) { m.PlacementReply = &PlacementReply{Reserved: []int64{1, 2}} },
	} {
		m := dispatchMessage()
		breaks(&m)
		data, err := Encode(m)
		require.NoError(t, err)
		_, err = Decode(data)
		require.ErrorContains(t, err, "decode a message of another entry", name)
	}
}

func TestKindsOfMessages(t *testing.T) {
	for kind, m := range map[Kind]Message{
		KindUpdate: {Update: &Update{}}, KindPlacement: {PlacementReply: &PlacementReply{}}, KindEvents: {Ended: []string{"a"}}, KindRemoteHeartbeat: {EntryCount: 3, Members: []ZoneMembers{{}}},
		KindHeartbeat: {Digest: 1, WantsMembers: true}, KindList: {Members: []ZoneMembers{{}}}, KindMembersRequest: {WantsMembers: true}, KindGreeting: {},
		KindRecords: {Records: make([]quarantine.Record, 1)},
	} {
		require.Equal(t, kind, m.Kind())
	}
	rest := Message{ZoneSummaries: []ZoneSummary{{Zone: "b"}}}
	require.Equal(t, KindHeartbeat, rest.Kind(), "summaries that didn't fit a heartbeat")
}

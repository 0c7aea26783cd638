package peering

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/placement"
	"arbutusdeck/core/quarantine"
)

func usualMessage() Message {
	return Message{From: "10.1.0.40:8229", Incarnation: "5f1c07a2", Version: 18, Revision: 1234,
		Dispatches: []placement.Dispatch{{ID: "2kq0x1v9m4c7z", Server: "i-3888e856cb", Helpers: []string{"i-4097e082f0"}, PromptTokens: 27_000, AnswerTokens: 1600,
			Gap: 600 * time.Millisecond, Target: 1500 * time.Millisecond, Life: 10 * time.Second}}}
}

func TestAMessageIsReadAsItWasWritten(t *testing.T) {
	m := usualMessage()
	m.FirstEvents, m.Ended, m.KnownPeers, m.Stopping = []string{"a"}, []string{"b", "c"}, []string{"10.2.0.1:8229"}, true
	m.Dispatches[0].Held = []int64{200_000, 0}
	data, err := Encode(m)
	require.NoError(t, err)
	read, err := Decode(data)
	require.NoError(t, err)
	require.Equal(t, m, read)
}

// A message is sent to every entry with every begin, first event and end of a request.
func TestAMessageIsShort(t *testing.T) {
	data, err := Encode(usualMessage())
	require.NoError(t, err)
	text, err := json.Marshal(usualMessage())
	require.NoError(t, err)
	require.Less(t, len(data), 130)
	require.Greater(t, len(text), 2*len(data))
}

// A datagram that is cut short or another program's must be refused, not half read.
func TestAMessageThatIsCutShortIsRefused(t *testing.T) {
	data, err := Encode(usualMessage())
	require.NoError(t, err)
	for n := range data {
		_, err := Decode(data[:n])
		require.Error(t, err, n)
	}
	_, err = Decode([]byte("{}"))
	require.Error(t, err)
}

// A newer entry sends a field that this one does not know.
func TestUnknownFieldsArePassedOver(t *testing.T) {
	data := []byte{0xa2, 0x01, 0x61, 'a', 0x18, 0x63, 0x05} // {1: "a", 99: 5}
	m, err := Decode(data)
	require.NoError(t, err)
	require.Equal(t, Message{From: "a"}, m)
}

// An entry with a fault tells of a request with memory at more servers than it names. Entries that
// took it in ended, all of them, and again after their start: what is open is told anew.
func TestAMessageThatMakesNoSenseIsRefused(t *testing.T) {
	for name, breaks := range map[string]func(*Message){
		"held at fewer servers": func(m *Message) { m.Dispatches[0].Held = []int64{1} },
		"negative tokens":       func(m *Message) { m.Dispatches[0].PromptTokens = -1 },
		"too many tokens":       func(m *Message) { m.Dispatches[0].AnswerTokens = 1 << 40 },
		"too long":              func(m *Message) { m.Dispatches[0].Life = 1 << 60 },
		"too many entries":      func(m *Message) { m.EntryCount = maxEntries + 1 },
		"less than none":        func(m *Message) { m.ZoneSummaries = []ZoneSummary{{EntryCount: -1}} },
		"from the future":       func(m *Message) { m.ZoneSummaries = []ZoneSummary{{Age: -1}} },
		"a question": func(m *Message) {
			m.PlacementRequest = &PlacementRequest{Dispatch: placement.Dispatch{PromptTokens: -1}}
		},
		"a place": func(m *Message) { m.PlacementReply = &PlacementReply{Reserved: []int64{1, 2}} },
	} {
		m := usualMessage()
		breaks(&m)
		data, err := Encode(m)
		require.NoError(t, err)
		_, err = Decode(data)
		require.ErrorContains(t, err, "a message of another entry", name)
	}
}

func TestMessagesAreToldApart(t *testing.T) {
	for kind, m := range map[Kind]Message{
		KindUpdate: {Update: &Update{}}, KindPlacement: {PlacementReply: &PlacementReply{}}, KindEvents: {Ended: []string{"a"}}, KindRemoteHeartbeat: {EntryCount: 3, Members: []ZoneMembers{{}}},
		KindHeartbeat: {Digest: 1, WantsMembers: true}, KindList: {Members: []ZoneMembers{{}}}, KindMembersRequest: {WantsMembers: true}, KindGreeting: {},
		KindRecords: {Records: make([]quarantine.Record, 1)},
	} {
		require.Equal(t, kind, m.Kind())
	}
}

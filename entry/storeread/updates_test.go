package storeread

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/core/directory"
	"arbutusdeck/core/peering"
	"arbutusdeck/platform"
	"arbutusdeck/platform/standin"
)

// rowsOf is a Target of which only Rows is called.
type rowsOf struct {
	Target
	directory *directory.Directory
}

func (r rowsOf) Rows(ids []string) ([]directory.Server, []directory.Tombstone) {
	return r.directory.Rows(ids)
}

// Many rows change at once. They are sent in parts that fit into a packet, and each part starts
// where the previous one ends.
func TestUpdatesAreSentInPartsWithoutGaps(t *testing.T) {
	rows := standin.NewStore()
	t.Cleanup(rows.Close)
	rows.Put("op/config", standin.Configuration(1)) // takes revision 1, the base of the update
	for i := range 20 {
		rows.Put("servers/i-"+string(rune('a'+i)), standin.ServerRow("plain", "127.0.0.1:1", "ready"))
	}
	changes, err := platform.NewStore(rows.Address(), http.DefaultClient, time.Second).ReadServers(t.Context())
	require.NoError(t, err)
	known := directory.New(directory.Options{})
	known.Replace(time.Now(), changes.Servers, changes.Revision, false)
	changes.Revision += 5
	r := New(Options{Target: rowsOf{directory: known}})
	updates := r.updates(1, changes)
	require.Len(t, updates, 3)
	at, sent := uint64(1), 0
	for _, update := range updates {
		require.Equal(t, at, update.BaseRevision)
		for _, server := range update.Servers {
			require.Greater(t, server.Revision, update.BaseRevision)
			require.LessOrEqual(t, server.Revision, update.UpToRevision)
		}
		at, sent = update.UpToRevision, sent+len(update.Servers)
		message := peering.Message{From: "127.127.127.127:65535", Update: &update}
		data, err := peering.Encode(message)
		require.NoError(t, err)
		require.Less(t, len(data), 1400)
	}
	require.Equal(t, changes.Revision, at)
	require.Equal(t, 20, sent)
}

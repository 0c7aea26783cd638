package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// base is the first file of a small valid folder.
const base = `
lengthClasses:
  short: {upTo: 8000, firstToken: 400ms}
  long: {upTo: 1000000, firstToken: 4m, isolated: true}
halls:
  poetry: {model: m}
kinds:
  gloss: {hall: poetry, deadline: 20s}
servers:
  a: {address: "10.0.0.1:7300", zone: z, engines: {e0: {hall: poetry, memoryTokens: 1000, prefillRate: 100, slots: 2}}}
  b: {address: "10.0.0.2:7300", zone: z}
services:
  orders: {servers: [b], deadline: 5s, concurrency: 2, homes: {one: {server: b}}}
workspaces:
  w: {keyHashes: [` + "'" + `0000000000000000000000000000000000000000000000000000000000000001` + "'" + `]}
`

func folder(later ...string) []File {
	files := []File{{Name: "00-base.yaml", Content: []byte(base)}}
	for i, text := range later {
		files = append(files, File{Name: fmt.Sprintf("%02d.yaml", i+10), Content: []byte(text)})
	}
	return files
}

func TestMergeInNameOrder(t *testing.T) {
	cases := []struct {
		name  string
		later []string
		check func(t *testing.T, s *Snapshot)
	}{
		{"a later value replaces one key", []string{"workspaces: {w: {weight: 3}}"}, func(t *testing.T, s *Snapshot) {
			require.Equal(t, 3.0, s.Workspaces["w"].Weight)
			require.Len(t, s.Workspaces["w"].KeyHashes, 1)
		}},
		{"the last of several wins", []string{"workspaces: {w: {weight: 3}}", "workspaces: {w: {weight: 5}}"}, func(t *testing.T, s *Snapshot) {
			require.Equal(t, 5.0, s.Workspaces["w"].Weight)
			require.Equal(t, Setting{Position{"11.yaml", 1}, "5"}, s.provenance["workspaces.w.weight"])
		}},
		{"a list is replaced whole", []string{"services: {orders: {servers: [a, b]}}"}, func(t *testing.T, s *Snapshot) {
			require.Equal(t, []string{"a", "b"}, s.Services["orders"].Servers)
		}},
		{"null deletes a key", []string{"workspaces: {w: {weight: 3}}", "workspaces: {w: {weight: null}}"}, func(t *testing.T, s *Snapshot) {
			require.Equal(t, DefaultWeight, s.Workspaces["w"].Weight)
		}},
		{"null deletes a whole entry", []string{"services: {orders: null}"}, func(t *testing.T, s *Snapshot) {
			require.Empty(t, s.Services)
		}},
		{"a deleted entry can be written anew", []string{"services: {orders: null}", "services: {orders: {servers: [a], deadline: 1s, concurrency: 1}}"}, func(t *testing.T, s *Snapshot) {
			require.Empty(t, s.Services["orders"].Homes)
		}},
		{"an empty file changes nothing", []string{"", "# only a comment\n"}, func(t *testing.T, s *Snapshot) {
			require.Len(t, s.Servers, 2)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, err := Load(1, folder(c.later...))
			require.NoError(t, err)
			c.check(t, s)
		})
	}
}

// An invalid folder is rejected with the file, the line, the problem and the expected value.
func TestInvalidFolders(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"unknown key", "kinds: {gloss: {hal: x}}", `10.yaml:1: unknown key "kinds.gloss.hal"; known here: deadline`},
		{"unknown section", "\nkind: {}", `10.yaml:2: unknown key "kind"; known here: entries`},
		{"unit missing", "kinds:\n  gloss: {deadline: 20}", `10.yaml:2: a duration wants a number and a unit`},
		{"wrong unit", "kinds:\n  gloss: {deadline: 20 parsecs}", `found "20 parsecs"`},
		{"wrong type", "kinds: {gloss: {repeatable: 5}}", "true or false is wanted here"},
		{"dangling hall", "kinds: {gloss: {hall: x}}", `kinds.gloss.hall: no hall is named "x"; known: poetry`},
		{"dangling server", "services: {orders: {servers: [x]}}", `no server is named "x"; known: a, b`},
		{"dangling kind", "workspaces: {w: {kinds: [x]}}", `no kind is named "x"`},
		{"dangling class", "workspaces: {w: {firstToken: {x: 1s}}}", `no length class is named "x"`},
		{"bad address", "servers: {a: {address: here}}", "must be an IP and port"},
		{"same address", "servers: {b: {address: '10.0.0.1:7300'}}", "is the address of a too"},
		{"bad hash", "workspaces: {w: {keyHashes: [abc]}}", "64 lowercase hexadecimal digits"},
		{"shared key", "workspaces: {v: {keyHashes: ['0000000000000000000000000000000000000000000000000000000000000001']}}", "one key names one workspace"},
		{"equal classes", "lengthClasses: {other: {upTo: 8000, firstToken: 1s}}", "classes need different bounds"},
		{"short behind isolated", "lengthClasses: {huge: {upTo: 2000000, firstToken: 9m}}", "must be isolated too"},
		{"home outside", "services: {orders: {homes: {one: {server: a}}}}", "is not among the service's servers"},
		{"home formerly itself", "services: {orders: {homes: {one: {former: [b]}}}}", "can't be a former holder"},
		{"retired not former", "services: {orders: {homes: {one: {retired: [a]}}}}", "is not among former"},
		{"group member form", "groups: {g: {hall: poetry, lead: a, members: [a, b]}}", "must be written server/engine"},
		{"group member engine", "groups: {g: {hall: poetry, lead: a, members: [a/e0, a/e9]}}", `no engine of a is named "e9"`},
		{"group of one", "groups: {g: {hall: poetry, lead: a, members: [a/e0]}}", "needs at least 2 entries"},
		{"negative", "workspaces: {w: {weight: -1}}", "must be at least 0"},
		{"share above one", "halls: {poetry: {longShare: 1.5}}", "must be at most 1"},
		{"unknown role", "servers: {a: {engines: {e0: {role: x}}}}", "must be one of: both prefill decode"},
		{"key twice", "workspaces:\n  w: {weight: 1}\n  w: {weight: 2}", "10.yaml"},
		{"not YAML", "kinds: [", "10.yaml:1: not valid YAML"},
		{"not a mapping", "- a", "must be a mapping"},
		{"two documents", "kinds: {}\n---\nkinds: {}", "one document a file"},
		{"anchors", "kinds: &k {}", "anchors"},
		{"entry named as a server", "entries: {a: {peerAddress: '10.0.0.9:1', zone: z}}", "is the name of a server too"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Load(1, folder(c.text))
			var invalid *InvalidError
			require.ErrorAs(t, err, &invalid)
			require.Contains(t, err.Error(), c.want)
		})
	}
}

func TestExampleFoldersLoad(t *testing.T) {
	for _, name := range []string{"zagara", "pantallas"} {
		paths, err := filepath.Glob("../../examples/" + name + "/*.yaml")
		require.NoError(t, err)
		require.NotEmpty(t, paths)
		var files []File
		for _, path := range paths {
			content, err := os.ReadFile(path)
			require.NoError(t, err)
			files = append(files, File{Name: filepath.Base(path), Content: content})
		}
		s, err := Load(1, files)
		require.NoError(t, err, name)
		require.Len(t, s.Workspaces, 10)
	}
}

// A platform or peer serves an older revision, or other contents under the current
// revision. The store must not roll back. An invalid folder is rejected as a whole
// and the current one stays.
func TestStoreNeverRollsBack(t *testing.T) {
	store := &Store{}
	require.Equal(t, Applied, store.Apply(5, folder()).Verdict)
	require.Equal(t, NotNewer, store.Apply(5, folder()).Verdict)
	require.Equal(t, NotNewer, store.Apply(4, folder("workspaces: {w: {weight: 9}}")).Verdict)
	require.Equal(t, Conflicting, store.Apply(5, folder("workspaces: {w: {weight: 9}}")).Verdict)
	rejected := store.Apply(6, folder("workspaces: {w: {weight: -9}}"))
	require.Equal(t, Rejected, rejected.Verdict)
	require.Error(t, rejected.Err)
	require.Equal(t, uint64(5), store.Revision())
	require.Equal(t, DefaultWeight, store.Current().Workspaces["w"].Weight)
	require.Equal(t, Applied, store.Apply(7, folder("workspaces: {w: {weight: 9}}")).Verdict)
}

// A panic of the YAML library rejects the folder and must not crash the daemon.
func TestYAMLPanicRejectsTheFolder(t *testing.T) {
	err := recoverPanic(Position{"bad.yaml", 1}, func() error { panic("index out of range") })
	require.ErrorContains(t, err, "bad.yaml:1: not usable as YAML: index out of range")
}

func TestExplainNamesTheFile(t *testing.T) {
	s, err := Load(1, folder("workspaces:\n  w:\n    weight: 3"))
	require.NoError(t, err)
	rows, err := s.Explain("w", "gloss", 100)
	require.NoError(t, err)
	for _, row := range rows {
		if row.Path == "workspaces.w.weight" {
			require.Equal(t, "10.yaml:3", row.Position.String())
		}
	}
	_, err = s.Explain("nobody", "gloss", 100)
	require.ErrorContains(t, err, "known: [w]")
	_, err = s.Explain("w", "gloss", 5_000_000)
	require.ErrorContains(t, err, "above the longest class")
}

func TestChangesNameValues(t *testing.T) {
	from, err := Load(1, folder("workspaces: {w: {weight: 3}}"))
	require.NoError(t, err)
	to, err := Load(2, folder("\n\nworkspaces: {w: {weight: 4, kinds: [gloss]}}", "services: {orders: {homes: null}}"))
	require.NoError(t, err)
	var texts []string
	for _, change := range Changes(from, to) {
		texts = append(texts, change.Path+": "+change.From.String()+" -> "+change.To.String())
	}
	require.Contains(t, texts, "workspaces.w.weight: 3 (10.yaml:1) -> 4 (10.yaml:3)")
	require.Contains(t, texts, "workspaces.w.kinds:  -> [gloss] (10.yaml:3)")
	require.Contains(t, texts, "services.orders.homes.one.server: b (00-base.yaml:13) -> ")
	require.NotContains(t, strings.Join(texts, "\n"), "keyHashes")
}

// A home slot moves to another server. The new holder must not run keys that the
// former holder may still run or may have run before.
func TestHomeSlotMoves(t *testing.T) {
	const allowance = 2 * time.Second
	start := time.Unix(1000, 0)
	load := func(revision uint64, home string) *Snapshot {
		s, err := Load(revision, folder("services: {orders: {servers: [a, b], homes: {one: {"+home+"}}}}"))
		require.NoError(t, err)
		return s
	}
	cases := []struct {
		name     string
		views    []string
		made     time.Time
		wantCode string
	}{
		{"another server's slot", []string{"server: b"}, start.Add(time.Hour), "key_not_home"},
		{"own slot", []string{"server: a"}, start.Add(time.Hour), ""},
		{"key older than the slot", []string{"server: a"}, start, "key_home_lost"},
		{"former not retired", []string{"server: a, former: [b]"}, start.Add(time.Hour), "key_not_home"},
		{"former retired", []string{"server: a, former: [b], retired: [b]"}, start.Add(time.Hour), ""},
		{"former left out but seen", []string{"server: b", "server: a"}, start.Add(time.Hour), "key_not_home"},
		{"moved and retired, old key", []string{"server: b", "server: a, former: [b], retired: [b]"}, start.Add(time.Second), "key_home_lost"},
		{"named before the former was retired", []string{"server: a, former: [b]", "server: a, former: [b], retired: [b]"}, start.Add(5 * time.Second), "key_home_lost"},
		{"kept over a change", []string{"server: a", "server: a, former: [b], retired: [b]"}, start.Add(5 * time.Second), ""},
		{"away and back", []string{"server: a", "server: b, former: [a], retired: [a]", "server: a, former: [b], retired: [b]"}, start.Add(5 * time.Second), "key_home_lost"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			homes := NewHomeSlots("a")
			for i, view := range c.views {
				homes.Apply(start.Add(time.Duration(i)*10*time.Second), load(uint64(i+1), view))
			}
			refusal := homes.Check("orders", "key", c.made, allowance)
			if c.wantCode == "" {
				require.Nil(t, refusal)
				return
			}
			require.NotNil(t, refusal)
			require.Equal(t, c.wantCode, string(refusal.Code))
		})
	}
}

// FuzzLoad checks that Load never panics, returns a snapshot or an InvalidError for
// any files, and gives the same result twice.
func FuzzLoad(f *testing.F) {
	f.Add(base, "workspaces: {w: {weight: 3}}")
	f.Add("kinds: {a: null}", "kinds: [")
	f.Add("a: &x 1\nb: *x", "? [a]\n: b")
	f.Add("servers: {a: {engines: {e: ~}}}", "servers: 7")
	f.Add("<<: {a: b}", "--- a\n--- b")
	f.Fuzz(func(t *testing.T, one, two string) {
		files := []File{{"1.yaml", []byte(one)}, {"2.yaml", []byte(two)}}
		first, err := Load(1, files)
		again, errAgain := Load(1, files)
		if err == nil {
			require.NoError(t, errAgain)
			require.Equal(t, first.Digest, again.Digest)
			return
		}
		require.EqualError(t, errAgain, err.Error())
		require.True(t, strings.HasPrefix(err.Error(), "configuration refused: "))
	})
}

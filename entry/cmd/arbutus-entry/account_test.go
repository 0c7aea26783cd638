package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const validLines = `{"msg":"server chosen","time":"2026-03-01T10:00:00Z","name":"e","request":"a","route":"r","tokens":5000,"predictedMs":50}
{"msg":"request ended","time":"2026-03-01T10:00:01Z","name":"e","request":"a","route":"r","targetMs":300,"tookMs":900,"firstMs":90,"outcome":"finished"}
`

func logFile(t *testing.T, content string) string {
	path := filepath.Join(t.TempDir(), "entry.log")
	require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

func TestAccountOfLogFiles(t *testing.T) {
	var out, errs bytes.Buffer
	require.NoError(t, runAccount([]string{logFile(t, validLines+"torn lin")}, false, "", &out, &errs))
	require.Contains(t, out.String(), "in time")
	require.Contains(t, errs.String(), "entry.log:3: ")
	require.Contains(t, errs.String(), "1 lines could not be read")
}

// Missing files and files without requests must fail with an error that names the file or the
// expected input.
func TestAccountWithoutLogs(t *testing.T) {
	var out, errs bytes.Buffer
	require.ErrorContains(t, runAccount([]string{"missing.log"}, false, "", &out, &errs), "missing.log")
	require.ErrorContains(t, runAccount([]string{logFile(t, "nothing\n")}, true, "", &out, &errs), "standard output")
	plot := filepath.Join(t.TempDir(), "missing", "a.svg")
	require.Error(t, runAccount([]string{logFile(t, validLines)}, false, plot, &out, &errs))
}

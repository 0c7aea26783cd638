package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"arbutusdeck/proof/removal"
)

// safeguardRemoval is a guarantee and the source change that removes its safeguard. The soak
// must then find a violation of the guarantee.
type safeguardRemoval struct {
	guarantee string
	change    removal.Change
}

func without(file, old, new string) removal.Change {
	return removal.Change{File: file, Old: old, New: new}
}

// removals cover the guarantees that a source change can violate. The checks of the others
// are tested on records alone.
var removals = []safeguardRemoval{
	{"at most once", without("core/execution/forward.go", "		return true\n	}\n	return false\n", "		return true\n	}\n	return true\n")},
	{"not run is true", without("core/execution/forward.go", "	f.mayHaveRun = true\n	return f.decide(now, f.mayRetry(result)", "	return f.decide(now, f.mayRetry(result)")},
	{"the whole answer to its own request", without("entry/gateway/attempt.go", "	if parsed.ID != \"\" && parsed.ID != e.info.ID {", "	if false {")},
	{"the whole answer to its own request", without("entry/gateway/stream.go", "		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {",
		"		if err != nil && len(raw) > 0 {\n			return event{raw: append(raw, line...)}, nil\n		}\n		if err != nil {")},
	{"the right service", without("platform/messages.go", "	h.Set(headerInstance, f.Instance)\n", "")},
	{"the workspace of the key", without("platform/messages.go", "	for _, name := range systemHeaders {\n		h.Del(name)\n	}\n", "")},
	{"no more time than is left", without("platform/messages.go", "max(f.Remaining.Milliseconds(), 1)", "f.Remaining.Milliseconds()+5000")},
	{"no proper request is denied", without("entry/gateway/handler.go", "	if e.table == nil {\n		e.refuse(http.StatusServiceUnavailable", "	if e.table == nil {\n		e.refuse(http.StatusNotFound")},
	{"memory comes back", without("entry/gateway/reservation.go", "		r.done.Wait()\n		r.release()\n", "		r.renew(context.Background())\n")},
	{"a planned stop cuts nothing", without("core/process/run.go", "				if again == syscall.SIGINT {", "				if again != nil {")},
	{answeredRead, without("entry/gateway/run.go", "func() { stop(errShutdownTimeout) })", "func() {})")},
	{"nothing is cut", without("entry/gateway/handler.go", "	s.manager.Join()\n	defer s.manager.End()\n", "")},
	{"a caller that leaves ends the work", without("entry/gateway/run.go", "context.WithCancelCause(e.r.Context())", "context.WithCancelCause(context.Background())")},
	{"an answer or a failure in time", without("entry/gateway/run.go", "context.WithDeadline(shutdownCtx, e.deadline)", "context.WithDeadline(shutdownCtx, e.deadline.Add(9*time.Second))")},
	{"a configuration is in force in time", without("entry/gateway/storechanges.go", "	if changes.Configuration != nil {\n", "	if changes.Configuration != nil && s.table.Load() == nil {\n")},
	{"a leaving server gets nothing new", without("core/directory/directory.go", "		if !d.TakesWork(known) {\n			continue\n", "		if false {\n			continue\n")},
	{sentOn, without("entry/gateway/run.go", "		if refusal, quarantined := e.quarantined(now); quarantined {\n", "		if refusal, quarantined := e.quarantined(now); quarantined && refusal.Code == \"\" {\n")},
	{sentOn, without("entry/gateway/crash.go", "		e.s.checkCrashLater(request, choice)\n", "")},
	{"only a request that ends servers is refused for it", without("core/quarantine/tracker.go", "	AttributedCrashLimit = 3\n", "	AttributedCrashLimit = 1\n")},
	{"no process ends by itself", without("entry/gateway/settingsloop.go", "	s.log.WithFields(logrus.Fields{\"seeds\": settings.Seeds", "	os.Exit(1)\n	s.log.WithFields(logrus.Fields{\"seeds\": settings.Seeds")},
}

// The removals are run manually and seldom. A safeguard that is moved or changed meanwhile leaves
// its row with text that no longer occurs in the file.
func TestTheTextOfEveryRemovalStandsOnce(t *testing.T) {
	root, err := filepath.Abs("../..")
	require.NoError(t, err)
	for _, r := range removals {
		_, err := removal.Overlay(root, t.TempDir(), r.change)
		assert.NoError(t, err, r.guarantee)
	}
}

// BenchmarkRemovals runs up to removalSeeds seeds without each safeguard, until a violation of
// its guarantee is found. It is run manually: each removal takes half a minute.
func BenchmarkRemovals(b *testing.B) {
	root, err := filepath.Abs("../..")
	require.NoError(b, err)
	for _, r := range removals {
		b.Run(r.guarantee, func(b *testing.B) {
			fmt.Fprintf(os.Stderr, "%-40s %-36s %s\n", r.guarantee, r.change.File, r.findViolation(b, root))
		})
	}
}

// removalSeeds and removalLength bound the search for one violation.
const (
	removalSeeds  = 4
	removalLength = 20 * time.Second
)

func (r safeguardRemoval) findViolation(b *testing.B, root string) string {
	overlay, err := removal.Overlay(root, b.TempDir(), r.change)
	require.NoError(b, err)
	binary := build(b, overlay)
	for seed := range uint64(removalSeeds) {
		report, err := Execute(Options{Seed: seed, FaultDuration: removalLength, Entries: 5, Servers: 9, PoisonRequests: 4, MaxCrashDelay: DefaultMaxCrashDelay, LongStreamCallers: 2, Binary: binary, Folder: b.TempDir(), CheckTiming: true})
		require.NoError(b, err)
		for _, f := range report.Findings {
			if f.Guarantee == r.guarantee {
				return fmt.Sprintf("seed %d: %s", seed, f.Detail)
			}
		}
	}
	b.Errorf("%s: no violation found without the safeguard in %s", r.guarantee, r.change.File)
	return "not found"
}

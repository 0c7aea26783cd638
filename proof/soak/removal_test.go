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

// broken is a promise, and the change that takes its safeguard out of the program. The
// soak must then find that it is broken.
type broken struct {
	promise string
	change  removal.Change
}

func without(file, old, new string) removal.Change {
	return removal.Change{File: file, Old: old, New: new}
}

// removals cover the promises that a program can be made to break. The remaining ones
// are shown red on records alone.
var removals = []broken{
	{"at most once", without("core/execution/forward.go", "		return true\n	}\n	return false\n", "		return true\n	}\n	return true\n")},
	{"not run is true", without("core/execution/forward.go", "	f.maybeRan = true\n	return f.again(now, f.mayRepeat(result)", "	return f.again(now, f.mayRepeat(result)")},
	{"the whole answer to its own request", without("entry/gateway/try.go", "	if answer.ID != \"\" && answer.ID != e.info.ID {", "	if false {")},
	{"the whole answer to its own request", without("entry/gateway/stream.go", "		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {",
		"		if err != nil && len(raw) > 0 {\n			return event{raw: append(raw, line...)}, nil\n		}\n		if err != nil {")},
	{"the right service", without("platform/messages.go", "	h.Set(headerInstance, f.Instance)\n", "")},
	{"the workspace of the key", without("platform/messages.go", "	for _, name := range systemHeaders {\n		h.Del(name)\n	}\n", "")},
	{"no more time than is left", without("platform/messages.go", "max(f.Remaining.Milliseconds(), 1)", "f.Remaining.Milliseconds()+5000")},
	{"no proper request is denied", without("entry/gateway/front.go", "	if e.table == nil {\n		e.refuse(http.StatusServiceUnavailable", "	if e.table == nil {\n		e.refuse(http.StatusNotFound")},
	{"memory comes back", without("entry/gateway/reservation.go", "		r.done.Wait()\n		r.release()\n", "		r.renew(context.Background())\n")},
	{"a planned stop cuts nothing", without("core/process/run.go", "				if again == syscall.SIGINT {", "				if again != nil {")},
	{answeredRead, without("entry/gateway/run.go", "func() { stop(errStopLimit) })", "func() {})")},
	{"nothing is cut", without("entry/gateway/front.go", "	s.manager.Join()\n	defer s.manager.End()\n", "")},
	{"a caller that leaves ends the work", without("entry/gateway/run.go", "context.WithCancelCause(e.r.Context())", "context.WithCancelCause(context.Background())")},
	{"an answer or a failure in time", without("entry/gateway/run.go", "context.WithDeadline(limited, e.deadline)", "context.WithDeadline(limited, e.deadline.Add(9*time.Second))")},
	{"a configuration is in force in time", without("entry/gateway/platformloop.go", "	if changes.Configuration != nil {\n", "	if changes.Configuration != nil && s.table.Load() == nil {\n")},
	{"a leaving server gets nothing new", without("core/directory/directory.go", "		if !d.TakesWork(known) {\n			continue\n", "		if false {\n			continue\n")},
	{sentOn, without("entry/gateway/run.go", "		if cause, is := e.quarantined(now); is {\n", "		if cause, is := e.quarantined(now); is && cause.Code == \"\" {\n")},
	{sentOn, without("entry/gateway/ended.go", "		e.s.lookLater(request, choice)\n", "")},
	{"only a request that ends servers is refused for it", without("core/quarantine/watch.go", "	EndsToRefuse = 3\n", "	EndsToRefuse = 1\n")},
	{"no process ends by itself", without("entry/gateway/settingsloop.go", "	s.log.WithFields(logrus.Fields{\"seeds\": settings.Seeds", "	os.Exit(1)\n	s.log.WithFields(logrus.Fields{\"seeds\": settings.Seeds")},
}

// The removals are played by hand and seldom. Meanwhile a safeguard is moved or changed, and the row
// that takes it out names text that is not there.
func TestTheTextOfEveryRemovalStandsOnce(t *testing.T) {
	top, err := filepath.Abs("../..")
	require.NoError(t, err)
	for _, r := range removals {
		_, err := removal.Overlay(top, t.TempDir(), r.change)
		assert.NoError(t, err, r.promise)
	}
}

// BenchmarkRemovals plays up to removalSeeds seeds without each safeguard, until the
// promise is found broken. It is played by hand: each removal takes half a minute.
func BenchmarkRemovals(b *testing.B) {
	top, err := filepath.Abs("../..")
	require.NoError(b, err)
	for _, r := range removals {
		b.Run(r.promise, func(b *testing.B) {
			fmt.Fprintf(os.Stderr, "%-40s %-36s %s\n", r.promise, r.change.File, r.red(b, top))
		})
	}
}

// removalSeeds and removalLength bound the search for one broken promise.
const (
	removalSeeds  = 4
	removalLength = 20 * time.Second
)

func (r broken) red(b *testing.B, top string) string {
	overlay, err := removal.Overlay(top, b.TempDir(), r.change)
	require.NoError(b, err)
	binary := build(b, overlay)
	for seed := range uint64(removalSeeds) {
		report, err := Play(Options{Seed: seed, Length: removalLength, Entries: 5, Workers: 9, Fatal: 4, FatalHold: DefaultFatalHold, Long: 2, Binary: binary, Folder: b.TempDir(), Timed: true})
		require.NoError(b, err)
		for _, f := range report.Findings {
			if f.Promise == r.promise {
				return fmt.Sprintf("seed %d: %s", seed, f.Detail)
			}
		}
	}
	b.Errorf("%s: nothing is found without the safeguard in %s", r.promise, r.change.File)
	return "not found"
}

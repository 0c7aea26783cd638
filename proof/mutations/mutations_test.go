// Package mutations tests the tests: it removes each safeguard in turn by overlaying a changed source
// file, and checks that the named test fails. A safeguard whose removal fails no test is unproven.
package mutations

import (
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	_ "arbutusdeck/proof/lab" // imported so that cached test results depend on the cores
	"arbutusdeck/proof/removal"
)

// mutation removes one safeguard.
type mutation struct {
	name string
	file string
	old  string
	new  string
	// pkg and test select the test that has to fail.
	pkg  string
	test string
}

const (
	execution = "arbutusdeck/core/execution"
	configPkg = "arbutusdeck/core/config"
	matrixPkg = "arbutusdeck/proof/matrix"
	explorer  = "TestExploreExecution"
	matrix    = "TestFaultMatrix"
)

var mutations = []mutation{
	{"tombstone after a refusal", "core/execution/ledger.go", "	l.attempts[offer.Attempt] = a\n	if offer.Key.None()", "	if offer.Key.None()", execution, "TestLedger"},
	{"tombstone after a cancel", "core/execution/ledger.go", "		l.attempts[request.Attempt] = a\n", "", execution, "TestLedger"},
	{"incarnation named by an offer", "core/execution/ledger.go", "	case offer.Target != l.options.Incarnation:\n", "	case false:\n", execution, "TestLedger"},
	{"incarnation named by a run message", "core/execution/ledger.go", "	if target != l.options.Incarnation {", "	if false {", execution, explorer},
	{"incarnation named by a cancel", "core/execution/ledger.go", "	if request.Target != l.options.Incarnation || now", "	if now", execution, explorer},
	{"second run message is not notRun", "core/execution/ledger.go", "	return Unknown, &Refusal{Code: CodeAlreadyOpen", "	return NotRun, &Refusal{Code: CodeAlreadyOpen", execution, explorer},
	{"a stopping entry asks the host about its request", "core/execution/request.go", "	if !opened || r.stopping {", "	if !opened || true {", execution, "TestAnEntryThatEnds"},
	{"a stopping entry waits once for the host", "core/execution/request.go", "	if !opened || r.stopping {", "	if !opened {", execution, "TestAnEntryThatEnds"},
	{"a stopping entry retries nothing", "core/execution/request.go", "	case r.stopping, r.attempts", "	case r.attempts", execution, "TestAnEntryThatEnds"},
	{"a stopping host refuses queued requests", "core/backend/run.go", "		c.cancelUnstarted(now, c.attempts[id])\n		effects = append(effects, c.closeAttempt(now, id, execution.NotRun, execution.Refusal{Code: execution.CodeDraining,\n			Detail: \"the server's daemon ends\", RetryAfter: time.Second})...)\n", "", "arbutusdeck/core/backend", "TestShutdownRefuses"},
	{"a run starts only from the queue", "core/execution/ledger.go", "	if !ok || a.phase != Queued {", "	if !ok {", execution, "TestLedger"},
	{"the key record answers a repeated request", "core/execution/ledger.go", "	if ran && !offer.Key.None() && record.Attempt != offer.Attempt {", "	if ran && false {", execution, explorer},
	{"key barrier after a refusal or cancel", "core/execution/record.go", "now.Before(until) {\n		return &Refusal{Code: CodeKeyBarred", "false {\n		return &Refusal{Code: CodeKeyBarred", execution, explorer},
	{"a restarted home reports unknown", "core/execution/record.go", "	case CodeWrongIncarnation, CodeKeyTooOld", "	case CodeKeyTooOld", execution, explorer},
	{"a duplicate offer gets no better answer", "core/execution/ledger.go", "	case known.phase == Tombstoned && !known.keyMayHaveRun:", "	case known.phase == Tombstoned:", execution, explorer},
	{"old offer replies are ignored", "core/execution/request.go", "	if now.Sub(r.sentAt) > r.options.OfferTTL {", "	if false {", execution, explorer},
	{"offer expiry", "core/execution/ledger.go", "	case !now.Before(offer.Expires):", "	case false:", execution, explorer},
	{"a request that may not be retried is not", "core/execution/request.go", "	retry := r.options.Retryable && !r.stopping && !mixed", "	retry := !r.stopping && !mixed", execution, explorer},
	{"an earlier run is remembered", "core/execution/request.go", "	if outcome == NotRun && r.priorOutcome != 0 {", "	if false {", execution, explorer},
	{"key older than the ledger", "core/execution/record.go", "	if createdAt.Before(l.options.StartedAt.Add(skew)) {", "	if false {", execution, "TestLedger"},
	{"key older than its retention", "core/execution/record.go", "	if now.Sub(createdAt) > l.options.Retention-skew {", "	if false {", execution, "TestLedger"},
	{"key from the future", "core/execution/record.go", "	if createdAt.Sub(now) > skew {", "	if false {", execution, "TestLedger"},
	{"key with another body", "core/execution/record.go", "	if record.Fingerprint != offer.Key.Fingerprint {", "	if false {", execution, "TestLedger"},
	{"frames of another attempt", "core/execution/frame.go", "	case frame.Request != c.request || frame.Attempt != c.attempt:", "	case false:", execution, "TestFrames"},
	{"repeated frames", "core/execution/frame.go", "	case frame.Sequence < c.next:\n		return FrameDuplicate", "	case frame.Sequence < c.next:\n		return FrameNext", execution, "TestFrames"},
	{"gaps between frames are detected", "core/execution/frame.go", "	case frame.Sequence > c.next:", "	case false:", execution, "TestFrames"},
	{"checksum and count", "core/execution/frame.go", "	if len(frame.Payload) > 0 || frame.Count != c.next-1 || frame.Checksum != c.sum.Sum64() {", "	if false {", execution, "TestFrames"},
	{"no mixing of two runs", "core/execution/request.go", "	mixed := r.delivered && !r.options.Buffered", "	mixed := false", matrixPkg, matrix},
	{"an abandoned run is cancelled", "core/execution/request.go", "	if frame.Outcome == Unknown || (", "	if (", matrixPkg, matrix},
	{"the lease of a lost stream expires", "core/execution/leases.go", "		case a.phase == Running:\n			if !a.stopping {", "		case a.phase == Running:\n			if false {", matrixPkg, matrix},
	{"offers expire", "core/execution/ledger.go", "	a.phase, a.outcome, a.expiresAt = Tombstoned, NotRun, now.Add(l.options.Retention)\n	delete(l.open, id)\n}", "}", matrixPkg, matrix},
	{"orphans are cancelled", "core/memory/recovery.go", "		if now.Sub(since) >= r.grace {", "		if false && now.Sub(since) >= r.grace {", matrixPkg, matrix},
	{"reservations of a group expire", "core/memory/leases.go", "		if !lease.Expires.IsZero() && !now.Before(lease.Expires) {", "		if false {", matrixPkg, matrix},
	{"a late grant is released", "core/memory/group.go", "			return []GroupAction{ReleasePart{id, part}}", "			return nil", matrixPkg, "TestGroups|" + matrix},
	{"a draining server refuses", "core/execution/ledger.go", "	case l.draining:", "	case false:", execution, "TestLedger"},
	{"silence ends a stream", "core/wire/frames.go", "	StreamIdle        = 4 * time.Second", "	StreamIdle        = 4000 * time.Second", matrixPkg, "TestSilence"},
	{"a configuration is never replaced by an older one", "core/config/store.go", "	if previous == nil || revision > previous.Revision {", "	if previous == nil || revision != previous.Revision {", configPkg, "TestStoreNeverRollsBack"},
	{"same revision, other content", "core/config/store.go", "	if revision == previous.Revision && Digest(files) != previous.Digest {", "	if false {", configPkg, "TestStoreNeverRollsBack"},
	{"a starting daemon asks its peers for the revision", "core/config/sync.go", "	return s.peersTried || len(s.replied) >= required || now", "	return true || len(s.replied) >= required || now", configPkg, "TestReplacedHostUnderStalePlatform"},
	{"a daemon resumed after a pause asks its peers", "core/config/sync.go", "	s.replied = map[string]bool{}\n	s.peersTried", "	s.peersTried", configPkg, "TestDaemonResyncsAfterAPause"},
	{"peers are chosen at random", "core/config/sync.go", "min(int(s.random()*float64(len(s.peers))), len(s.peers)-1)", "s.peerRequests%len(s.peers)", configPkg, "TestWholeFleetRestarts"},
	{"a slot's former holder is retired", "core/config/homes.go", "		if !slices.Contains(home.Retired, former) {", "		if false {", configPkg, "TestHomeSlotMoves"},
	{"a slot starts when its last former holder is retired", "core/config/homes.go", "	if exclusive && !s.exclusive {", "	if s.ownedSince.IsZero() {", configPkg, "TestHomeSlotMoves"},
	{"keys older than a slot are refused", "core/config/homes.go", "	if createdAt.Before(state.ownedSince.Add(skew)) {", "	if false {", configPkg, "TestHomeSlotMoves"},
	{"a panic of the YAML library is contained", "core/config/merge.go", "		if cause := recover(); cause != nil {", "		if cause := any(nil); cause != nil {", configPkg, "TestYAMLPanic"},
	{"draining is sticky", "core/membership/view.go", "	if m.drained[incarnation] && !draining {", "	if false {", "arbutusdeck/core/membership", "TestView"},
	{"a list that shrinks too much is not trusted", "core/membership/view.go", "	if missing > 1 && float64(missing)", "	if missing > 1000 && float64(missing)", "arbutusdeck/core/membership", "TestView"},
	{"no member counts as live after a pause", "core/membership/view.go", "		if m.state == Live {\n			m.retryAt", "		if false {\n			m.retryAt", "arbutusdeck/core/membership", "TestView"},
	{"one order is open at a time", "core/orders/reconciler.go", "	case e.inFlight || e.observed.Busy:", "	case false:", "arbutusdeck/core/orders", "TestReconciler"},
	{"orders need a recent observation", "core/orders/reconciler.go", "	case e.observedAt.IsZero() || now.Sub(e.observedAt) > r.options.MaxObservationAge:", "	case false:", "arbutusdeck/core/orders", "TestReconciler"},
	{"a predecessor's order is waited out", "core/orders/reconciler.go", "	case !e.checksFencing && now.Sub(r.started) < r.options.MaxOrderDuration:", "	case false:", "arbutusdeck/core/orders", "TestReconciler"},
	{"the fencing number exceeds the last one seen", "core/orders/reconciler.go", "max(e.fence, e.observed.Fence, r.revision) + 1", "r.revision", "arbutusdeck/core/orders", "TestReconciler"},
	{"weight loads take turns", "core/orders/reconciler.go", "	case e.needsLoad() && now.Before(e.loadSlot):", "	case false:", "arbutusdeck/core/orders", "TestWeightStore"},
	{"an older snapshot issues no orders", "core/orders/reconciler.go", "	if revision < r.revision {", "	if false {", "arbutusdeck/core/orders", "TestReconciler"},
}

// repositoryRoot returns the absolute path of the repository.
func repositoryRoot(t *testing.T) string {
	path, err := filepath.Abs("../..")
	require.NoError(t, err)
	return path
}

// allMutations returns the rows of all tables.
func allMutations() []mutation {
	return slices.Concat(mutations, forwardingMutations, quarantineMutations, evacuationMutations, memoryMutations, fleetMutations, limitMutations, leavingMutations, pauseMutations, spilloverMutations, fairshareMutations, waitingMutations, claimsMutations, learnedMutations, versionMutations, partMutations, callersMutations, responsesMutations)
}

func (m mutation) change() removal.Change {
	return removal.Change{File: m.file, Old: m.old, New: m.new}
}

// Guards against rows that quote text which is no longer in the source, because the safeguard was
// moved to another file or adjacent lines changed: such a row would not remove the safeguard. This
// test takes a second, the one below some minutes.
func TestTheTextOfEverySafeguardStandsOnce(t *testing.T) {
	for _, m := range allMutations() {
		_, err := removal.Overlay(repositoryRoot(t), t.TempDir(), m.change())
		assert.NoError(t, err, m.name)
	}
}

func TestEverySafeguardIsMissed(t *testing.T) {
	top := repositoryRoot(t)
	for _, m := range allMutations() {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			output, err := runWithout(t, top, m)
			require.Error(t, err, "no test fails without this safeguard")
			require.Contains(t, output, "--- FAIL", "the build failed instead of the test:\n%s", output)
			t.Log(firstFailure(output))
		})
	}
}

// runWithout runs the test of a mutation with the safeguard removed and returns its output.
func runWithout(t *testing.T, top string, m mutation) (string, error) {
	overlay, err := removal.Overlay(top, t.TempDir(), m.change())
	require.NoError(t, err)
	command := exec.Command("go", "test", "-count=1", "-vet=off", "-failfast", "-timeout", "3m", "-overlay", overlay, "-run", "^("+m.test+")", m.pkg)
	command.Dir = top
	output, err := command.CombinedOutput()
	return string(output), err
}

var failure = regexp.MustCompile(`(?m)^\s*(--- FAIL: .*|Messages:.*|Error:.*)$`)

// firstFailure returns the first messages of a failed test run.
func firstFailure(output string) string {
	found := failure.FindAllString(output, 6)
	for i := range found {
		found[i] = strings.Join(strings.Fields(found[i]), " ")
	}
	return strings.Join(found, " | ")
}

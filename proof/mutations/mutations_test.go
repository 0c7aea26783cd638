// Package mutations removes each safeguard in turn, by overlaying a changed
// source file, and checks that the named test turns red. A safeguard whose
// removal no test notices is not proved.
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

	_ "arbutusdeck/proof/lab" // the cache of test results must see the cores
	"arbutusdeck/proof/removal"
)

// mutation removes one safeguard.
type mutation struct {
	name string
	file string
	old  string
	new  string
	// pkg and test name the test that has to fail.
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
	{"an entry that ends asks its host", "core/execution/request.go", "	if !opened || r.stopping {", "	if !opened || true {", execution, "TestAnEntryThatEnds"},
	{"an entry that ends waits once", "core/execution/request.go", "	if !opened || r.stopping {", "	if !opened {", execution, "TestAnEntryThatEnds"},
	{"an entry that ends tries nothing again", "core/execution/request.go", "	case r.stopping, r.attempts", "	case r.attempts", execution, "TestAnEntryThatEnds"},
	{"a host that ends refuses what waits", "core/backend/run.go", "		c.cancelUnstarted(now, c.attempts[id])\n		effects = append(effects, c.closeAttempt(now, id, execution.NotRun, execution.Refusal{Code: execution.CodeDraining,\n			Detail: \"the server's daemon ends\", RetryAfter: time.Second})...)\n", "", "arbutusdeck/core/backend", "TestShutdownRefuses"},
	{"start only from the queue", "core/execution/ledger.go", "	if !ok || a.phase != Queued {", "	if !ok {", execution, "TestLedger"},
	{"key record answers a resend", "core/execution/ledger.go", "	if ran && !offer.Key.None() && record.Attempt != offer.Attempt {", "	if ran && false {", execution, explorer},
	{"key barrier after a refusal or cancel", "core/execution/record.go", "now.Before(until) {\n		return &Refusal{Code: CodeKeyBarred", "false {\n		return &Refusal{Code: CodeKeyBarred", execution, explorer},
	{"unknown for a restarted home", "core/execution/record.go", "	case CodeWrongIncarnation, CodeKeyTooOld", "	case CodeKeyTooOld", execution, explorer},
	{"a copy is answered no better", "core/execution/ledger.go", "	case known.phase == Tombstoned && !known.keyMayHaveRun:", "	case known.phase == Tombstoned:", execution, explorer},
	{"old answers are not believed", "core/execution/request.go", "	if now.Sub(r.sentAt) > r.options.OfferTTL {", "	if false {", execution, explorer},
	{"offer expiry", "core/execution/ledger.go", "	case !now.Before(offer.Expires):", "	case false:", execution, explorer},
	{"a request that may not be repeated is not", "core/execution/request.go", "	retry := r.options.Retryable && !r.stopping && !mixed", "	retry := !r.stopping && !mixed", execution, explorer},
	{"an earlier run is remembered", "core/execution/request.go", "	if outcome == NotRun && r.priorOutcome != 0 {", "	if false {", execution, explorer},
	{"key older than the ledger", "core/execution/record.go", "	if createdAt.Before(l.options.StartedAt.Add(skew)) {", "	if false {", execution, "TestLedger"},
	{"key older than its retention", "core/execution/record.go", "	if now.Sub(createdAt) > l.options.Retention-skew {", "	if false {", execution, "TestLedger"},
	{"key from the future", "core/execution/record.go", "	if createdAt.Sub(now) > skew {", "	if false {", execution, "TestLedger"},
	{"key with another body", "core/execution/record.go", "	if record.Fingerprint != offer.Key.Fingerprint {", "	if false {", execution, "TestLedger"},
	{"frames of another attempt", "core/execution/frame.go", "	case frame.Request != c.request || frame.Attempt != c.attempt:", "	case false:", execution, "TestFrames"},
	{"repeated frames", "core/execution/frame.go", "	case frame.Sequence < c.next:\n		return FrameDuplicate", "	case frame.Sequence < c.next:\n		return FrameNext", execution, "TestFrames"},
	{"gaps between frames", "core/execution/frame.go", "	case frame.Sequence > c.next:", "	case false:", execution, "TestFrames"},
	{"checksum and count", "core/execution/frame.go", "	if len(frame.Payload) > 0 || frame.Count != c.next-1 || frame.Checksum != c.sum.Sum64() {", "	if false {", execution, "TestFrames"},
	{"no mixing of two runs", "core/execution/request.go", "	mixed := r.delivered && !r.options.Buffered", "	mixed := false", matrixPkg, matrix},
	{"an abandoned run is cancelled", "core/execution/request.go", "	if frame.Outcome == Unknown || (", "	if (", matrixPkg, matrix},
	{"lease of a lost stream", "core/execution/leases.go", "		case a.phase == Running:\n			if !a.stopping {", "		case a.phase == Running:\n			if false {", matrixPkg, matrix},
	{"offers lapse", "core/execution/ledger.go", "	a.phase, a.outcome, a.expiresAt = Tombstoned, NotRun, now.Add(l.options.Retention)\n	delete(l.open, id)\n}", "}", matrixPkg, matrix},
	{"orphans are cancelled", "core/memory/recovery.go", "		if now.Sub(since) >= r.grace {", "		if false && now.Sub(since) >= r.grace {", matrixPkg, matrix},
	{"parts of a group end by themselves", "core/memory/leases.go", "		if !lease.Expires.IsZero() && !now.Before(lease.Expires) {", "		if false {", matrixPkg, matrix},
	{"a late grant is given back", "core/memory/group.go", "			return []GroupAction{ReleasePart{id, part}}", "			return nil", matrixPkg, "TestGroups|" + matrix},
	{"a leaving server refuses", "core/execution/ledger.go", "	case l.draining:", "	case false:", execution, "TestLedger"},
	{"silence ends a stream", "core/wire/frames.go", "	StreamIdle        = 4 * time.Second", "	StreamIdle        = 4000 * time.Second", matrixPkg, "TestSilence"},
	{"configuration never back", "core/config/store.go", "	if previous == nil || revision > previous.Revision {", "	if previous == nil || revision != previous.Revision {", configPkg, "TestStoreNeverRollsBack"},
	{"same revision, other content", "core/config/store.go", "	if revision == previous.Revision && Digest(files) != previous.Digest {", "	if false {", configPkg, "TestStoreNeverRollsBack"},
	{"a starting daemon asks its peers", "core/config/sync.go", "	return s.peersTried || len(s.replied) >= required || now", "	return true || len(s.replied) >= required || now", configPkg, "TestReplacedHostUnderStalePlatform"},
	{"an awoken daemon asks its peers", "core/config/sync.go", "	s.replied = map[string]bool{}\n	s.peersTried", "	s.peersTried", configPkg, "TestDaemonResyncsAfterAPause"},
	{"peers are chosen at random", "core/config/sync.go", "min(int(s.random()*float64(len(s.peers))), len(s.peers)-1)", "s.peerRequests%len(s.peers)", configPkg, "TestWholeFleetRestarts"},
	{"a slot's former holder is retired", "core/config/homes.go", "		if !slices.Contains(home.Retired, former) {", "		if false {", configPkg, "TestHomeSlotMoves"},
	{"a slot begins when its last former holder is off", "core/config/homes.go", "	if exclusive && !s.exclusive {", "	if s.ownedSince.IsZero() {", configPkg, "TestHomeSlotMoves"},
	{"a slot's own beginning", "core/config/homes.go", "	if createdAt.Before(state.ownedSince.Add(skew)) {", "	if false {", configPkg, "TestHomeSlotMoves"},
	{"a panic of the YAML library", "core/config/merge.go", "		if cause := recover(); cause != nil {", "		if cause := any(nil); cause != nil {", configPkg, "TestYAMLPanic"},
	{"leaving is sticky", "core/membership/view.go", "	if m.drained[incarnation] && !draining {", "	if false {", "arbutusdeck/core/membership", "TestView"},
	{"a list that shrinks is not believed", "core/membership/view.go", "	if missing > 1 && float64(missing)", "	if missing > 1000 && float64(missing)", "arbutusdeck/core/membership", "TestView"},
	{"nothing live after a pause", "core/membership/view.go", "		if m.state == Live {\n			m.retryAt", "		if false {\n			m.retryAt", "arbutusdeck/core/membership", "TestView"},
	{"one order at a time", "core/orders/reconciler.go", "	case e.inFlight || e.observed.Busy:", "	case false:", "arbutusdeck/core/orders", "TestReconciler"},
	{"orders rest on a fresh look", "core/orders/reconciler.go", "	case e.observedAt.IsZero() || now.Sub(e.observedAt) > r.options.MaxObservationAge:", "	case false:", "arbutusdeck/core/orders", "TestReconciler"},
	{"a predecessor's order is waited out", "core/orders/reconciler.go", "	case !e.checksFencing && now.Sub(r.started) < r.options.MaxOrderDuration:", "	case false:", "arbutusdeck/core/orders", "TestReconciler"},
	{"the number is above the last seen", "core/orders/reconciler.go", "max(e.fence, e.observed.Fence, r.revision) + 1", "r.revision", "arbutusdeck/core/orders", "TestReconciler"},
	{"weight loads take turns", "core/orders/reconciler.go", "	case e.needsLoad() && now.Before(e.loadSlot):", "	case false:", "arbutusdeck/core/orders", "TestWeightStore"},
	{"an older snapshot gives no orders", "core/orders/reconciler.go", "	if revision < r.revision {", "	if false {", "arbutusdeck/core/orders", "TestReconciler"},
}

// root is the top of the repository.
func root(t *testing.T) string {
	path, err := filepath.Abs("../..")
	require.NoError(t, err)
	return path
}

// all are the mutations of all tables.
func all() []mutation {
	return slices.Concat(mutations, forwardingMutations, quarantineMutations, evacuationMutations, memoryMutations, fleetMutations)
}

func (m mutation) change() removal.Change {
	return removal.Change{File: m.file, Old: m.old, New: m.new}
}

// A safeguard is moved to another file, or the lines beside it are changed. Its row then names text
// that is not there, and nothing shows any more that the safeguard is missed. This takes a second,
// the test below some minutes.
func TestTheTextOfEverySafeguardStandsOnce(t *testing.T) {
	for _, m := range all() {
		_, err := removal.Overlay(root(t), t.TempDir(), m.change())
		assert.NoError(t, err, m.name)
	}
}

func TestEverySafeguardIsMissed(t *testing.T) {
	top := root(t)
	for _, m := range all() {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			output, err := runWithout(t, top, m)
			require.Error(t, err, "nothing fails without this safeguard")
			require.Contains(t, output, "--- FAIL", "the build broke instead of the test:\n%s", output)
			t.Log(firstFailure(output))
		})
	}
}

// runWithout runs a mutation's test with the safeguard overlaid.
func runWithout(t *testing.T, top string, m mutation) (string, error) {
	overlay, err := removal.Overlay(top, t.TempDir(), m.change())
	require.NoError(t, err)
	command := exec.Command("go", "test", "-count=1", "-vet=off", "-failfast", "-timeout", "3m", "-overlay", overlay, "-run", "^("+m.test+")", m.pkg)
	command.Dir = top
	output, err := command.CombinedOutput()
	return string(output), err
}

var failure = regexp.MustCompile(`(?m)^\s*(--- FAIL: .*|Messages:.*|Error:.*)$`)

// firstFailure shortens a red run to its first messages.
func firstFailure(output string) string {
	found := failure.FindAllString(output, 6)
	for i := range found {
		found[i] = strings.Join(strings.Fields(found[i]), " ")
	}
	return strings.Join(found, " | ")
}

package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	exits "arbutusdeck/core/process"
)

// Finding is a violation of a guarantee.
type Finding struct {
	Guarantee string
	Detail    string
}

// maxFindingsPerGuarantee bounds the findings that are reported for one guarantee, as a single
// cause can affect many calls.
const maxFindingsPerGuarantee = 5

// checker evaluates the records of a finished run.
type checker struct {
	*Records
	runs          map[string][]*Run
	calls         map[string]*Call
	findings      []Finding
	findingCounts map[string]int
}

// Check returns the violations of guarantees that the records show. Guarantees that bound
// times are checked only if timed is set.
func Check(r *Records, timed bool) []Finding {
	c := &checker{Records: r, runs: map[string][]*Run{}, calls: map[string]*Call{}, findingCounts: map[string]int{}}
	for _, run := range r.Runs {
		c.runs[run.ID] = append(c.runs[run.ID], run)
	}
	for i := range r.Calls {
		c.calls[r.Calls[i].ID] = &r.Calls[i]
	}
	for i := range r.Calls {
		c.checkCall(&r.Calls[i])
		c.checkAnsweredOnStop(&r.Calls[i])
	}
	for _, run := range r.Runs {
		c.checkRun(run)
	}
	c.checkConfigOrder()
	c.checkRetries()
	c.checkPoison(timed)
	c.checkFinalState()
	if timed {
		c.checkTiming()
	}
	return c.findings
}

func (c *checker) report(guarantee, format string, arguments ...any) {
	c.findingCounts[guarantee]++
	if c.findingCounts[guarantee] <= maxFindingsPerGuarantee {
		c.findings = append(c.findings, Finding{guarantee, fmt.Sprintf(format, arguments...)})
	}
}

// notRunStatuses assure the caller that a request has not run and never will.
var notRunStatuses = []int{408, 421, 429, 503}

func (c *checker) checkCall(call *Call) {
	runs := c.runs[call.ID]
	if call.Kind.atMostOnce() && len(runs) > 1 {
		c.report("at most once", "%s ran %d times, at %s and %s", call.ID, len(runs), runs[0].Server, runs[1].Server)
	}
	if call.Kind.atMostOnce() && slices.Contains(notRunStatuses, call.Status) && len(runs) > 0 {
		c.report("not run is true", "%s got status %d and ran at %s", call.ID, call.Status, runs[0].Server)
	}
	if call.Corruption != "" {
		c.report("the whole answer to its own request", "%s: %s", call.ID, call.Corruption)
	}
	if call.Status == 200 && call.Signature == "" {
		c.report("the whole answer to its own request", "%s: 200 without a server's signature", call.ID)
	}
	if call.Status >= 400 && call.Signature != "" && !slices.ContainsFunc(runs, func(r *Run) bool { return r.Status == call.Status }) {
		c.report("the whole answer to its own request", "%s: signed status %d, which no server sent", call.ID, call.Status)
	}
	if call.Kind != ConfigProbe && call.Kind != RevokedKeyProbe && (call.Status == 404 || call.Status == 401) {
		c.report("no proper request is denied", "%s %s got status %d", call.ID, call.Path, call.Status)
	}
}

func (c *checker) checkRun(run *Run) {
	call := c.calls[run.ID]
	if call == nil {
		c.report("only callers' requests run", "%s ran at %s", run.ID, run.Server)
		return
	}
	if run.Service != call.Kind.service() {
		c.report("the right service", "%s %s ran at %s of %s", run.ID, call.Path, run.Server, run.Service)
	}
	if run.Workspace != "press" || run.Key != "" {
		c.report("the workspace of the key", "%s ran for %q with key %q", run.ID, run.Workspace, run.Key)
	}
	if run.Remaining <= 0 || run.Remaining > call.Timeout {
		c.report("no more time than is left", "%s was sent with %s left of %s", run.ID, run.Remaining, call.Timeout)
	}
}

// checkConfigOrder finds entries that have used a configuration and later an older one within
// one process lifetime. The probes of an entry are sequential.
func (c *checker) checkConfigOrder() {
	for entry := range c.Starts {
		shown, since := 0, time.Time{}
		for i := range c.Calls {
			call := &c.Calls[i]
			if call.Kind != ConfigProbe || call.Entry != entry {
				continue
			}
			if c.startedBetween(entry, since, call.EndedAt) {
				shown = 0
			}
			switch {
			case call.Status == 200:
				shown, since = max(shown, call.ConfigVersion), call.EndedAt
			case call.Status == 404 && call.ConfigVersion <= shown && !c.versionRemoved(call.ConfigVersion, call.EndedAt):
				c.report("a configuration never reverts", "entry %d showed version %d and not %d after it (%s)", entry, shown, call.ConfigVersion, call.ID)
			}
		}
	}
}

func (c *checker) startedBetween(entry int, from, to time.Time) bool {
	return slices.ContainsFunc(c.Starts[entry], func(at time.Time) bool { return at.After(from) && at.Before(to) })
}

// versionRemoved returns whether the route of a version may have been removed by a time.
func (c *checker) versionRemoved(version int, by time.Time) bool {
	return slices.ContainsFunc(c.Configs, func(change ConfigChange) bool { return change.Version >= version+2 && change.At.Before(by) })
}

// checkRetries checks the number of repeated arrivals of requests in every window that starts
// with one.
func (c *checker) checkRetries() {
	arrivals := slices.Clone(c.Arrivals)
	slices.SortFunc(arrivals, func(a, b Arrival) int { return a.At.Compare(b.At) })
	for _, service := range []string{engines, plain} {
		seen := map[string]bool{}
		var first, repeated []time.Time
		for _, a := range arrivals {
			switch {
			case a.Service != service:
			case seen[a.ID]:
				repeated = append(repeated, a.At)
			default:
				seen[a.ID] = true
				first = append(first, a.At)
			}
		}
		for _, from := range repeated {
			repeats, limit := countInWindow(repeated, from), retryExtra+retryRatio*float64(countInWindow(first, from.Add(-retryWindow))+countInWindow(first, from))
			if float64(repeats) > limit {
				c.report("retries keep to their budget", "%d within %s at %s, %.0f allowed", repeats, retryWindow, service, limit)
			}
		}
	}
}

func countInWindow(times []time.Time, from time.Time) int {
	low, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	high, _ := slices.BinarySearchFunc(times, from.Add(retryWindow), time.Time.Compare)
	return high - low
}

// checkFinalState checks the reservations, the exits and the success of calls in the recovery phase.
func (c *checker) checkFinalState() {
	for server, count := range c.LeftoverReservations {
		c.report("memory comes back", "%d reservations are left at %s", count, server)
	}
	for _, span := range c.ReservationSpans {
		until := span.To
		if used, ok := c.FirstUsedAt[span.ID]; ok && used.Before(until) {
			until = used
		}
		if idle := until.Sub(span.From); idle > reservationIdle+schedulingSlack {
			c.report("memory is used or given back", "reservation %s was not used for %s", span.ID, idle.Round(time.Millisecond))
		}
	}
	for _, e := range c.Exits {
		switch {
		case e.Unrequested:
			c.report("no process ends by itself", "entry %d exited with %d", e.Entry, e.Code)
		case e.Code == exits.ExitAborted && c.mayAbort(e):
		case e.Code != 0 && !c.hadUnplannedFault(e.Entry, e.StopRequestedAt, e.StopRequestedAt.Add(e.Took)):
			c.report("a planned stop cuts nothing", "entry %d exited with %d after %s", e.Entry, e.Code, e.Took.Round(time.Millisecond))
		}
	}
	requested, succeeded := 0, 0
	for i := range c.Calls {
		call := &c.Calls[i]
		if call.StartedAt.Before(c.FaultsEndedAt.Add(RecoveryTime/2)) || call.Kind == RevokedKeyProbe || call.Disconnected || c.hadNoServer(call) {
			continue
		}
		requested++
		if call.Status == 200 {
			succeeded++
		}
	}
	if float64(succeeded) < minRecoveredShare*float64(requested) {
		c.report("recovery", "%d of %d requests succeeded after the last fault", succeeded, requested)
	}
}

// hadNoServer returns whether the call's service was without any server at some moment of the
// call. Two poison requests may delay each other's quarantine up to the fifth crash, which can
// come after the last fault; if their service has two servers, both are then down for seconds.
func (c *checker) hadNoServer(call *Call) bool {
	service := call.Kind.service()
	moments := []time.Time{call.StartedAt}
	for _, lifetime := range c.Servers {
		if lifetime.Service == service && lifetime.To.After(call.StartedAt) && lifetime.To.Before(call.EndedAt) {
			moments = append(moments, lifetime.To)
		}
	}
	return slices.ContainsFunc(moments, func(at time.Time) bool { return !c.hasServer(service, at) })
}

// hasServer returns whether a server of a service was reachable at a time.
func (c *checker) hasServer(service string, at time.Time) bool {
	for _, lifetime := range c.Servers {
		if lifetime.Service == service && lifetime.wasReachable(at) {
			return true
		}
	}
	return false
}

// describeFaults returns a line per fault, with times relative to the first one.
func (r *Records) describeFaults() string {
	var text strings.Builder
	for _, f := range r.Faults {
		_, _ = fmt.Fprintf(&text, "%8.3f to %8.3f s  %s %d\n", f.From.Sub(r.Faults[0].From).Seconds(), f.To.Sub(r.Faults[0].From).Seconds(), f.Kind, f.Target)
	}
	return text.String()
}

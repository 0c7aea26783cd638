package soak

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/platform/standin"
)

var runStart = time.Unix(1_000_000, 0)

func after(seconds float64) time.Time {
	return runStart.Add(time.Duration(seconds * float64(time.Second)))
}

// validRecords returns the records of a run in which one request succeeds and no guarantee is violated.
func validRecords() *Records {
	r := newRecords()
	r.MaxPropagationDelay = DefaultMaxPropagationDelay
	r.Starts[0] = []time.Time{runStart}
	r.Configs = []ConfigChange{{1, runStart}, {2, runStart}, {3, runStart}}
	r.FaultsEndedAt = after(100)
	r.Servers["w"] = &ServerLifetime{Service: plain, From: runStart}
	r.Calls = []Call{{ID: "a", Kind: AtMostOnce, Path: "/order/x", StartedAt: after(10), EndedAt: after(10.1), Timeout: 2 * time.Second, Status: 200, Signature: "s", Complete: true}}
	r.Runs = []*Run{{ID: "a", Server: "w", Service: plain, Workspace: "press", StartedAt: after(10.01), EndedAt: after(10.09), Status: 200, Remaining: time.Second}}
	r.Arrivals = []Arrival{{ID: "a", Server: "w", Service: plain, At: after(10.01)}}
	return r
}

func TestAValidRunHasNoFindings(t *testing.T) {
	require.Empty(t, Check(validRecords(), true))
}

// The records violate each guarantee in turn; the checker must report it.
func TestEachBrokenPromiseIsFound(t *testing.T) {
	addRun := func(r *Records, change func(*Run)) {
		run := *r.Runs[0]
		change(&run)
		r.Runs = append(r.Runs, &run)
	}
	probe := func(r *Records, id string, at float64, status, marker int) {
		r.Calls = append(r.Calls, Call{ID: id, Kind: ConfigProbe, StartedAt: after(at), EndedAt: after(at + 0.1), Timeout: time.Second, Status: status, Signature: signatureOf(status), ConfigVersion: marker, Complete: true})
	}
	cases := map[string]func(r *Records){
		"at most once":                        func(r *Records) { addRun(r, func(run *Run) { run.Server = "other" }) },
		"not run is true":                     func(r *Records) { r.Calls[0].Status, r.Calls[0].Signature = 503, "" },
		"the whole answer to its own request": func(r *Records) { r.Calls[0].Corruption = "another's" },
		"no proper request is denied":         func(r *Records) { r.Calls[0].Status, r.Calls[0].Signature, r.Runs = 404, "", nil },
		"only callers' requests run":          func(r *Records) { addRun(r, func(run *Run) { run.ID = "unknown" }) },
		"the right service":                   func(r *Records) { r.Runs[0].Service = engines },
		"the workspace of the key":            func(r *Records) { r.Runs[0].Key = "Bearer key-1" },
		"no more time than is left":           func(r *Records) { r.Runs[0].Remaining = 3 * time.Second },
		"a configuration never reverts": func(r *Records) {
			probe(r, "p1", 20, 200, 3)
			probe(r, "p2", 21, 404, 3)
		},
		"retries keep to their budget": func(r *Records) {
			for range retryExtra + 2 {
				r.Arrivals = append(r.Arrivals, r.Arrivals[0])
			}
		},
		"memory is used or given back": func(r *Records) {
			r.ReservationSpans = []standin.ReservationSpan{{ID: "a", From: after(1), To: after(12)}, {ID: "b", From: after(1), To: after(12)}}
			r.FirstUsedAt["b"] = after(2)
		},
		"memory comes back": func(r *Records) { r.LeftoverReservations["w"] = 1 },
		answeredRead: func(r *Records) {
			r.Calls[0].Status, r.Calls[0].Signature, r.Calls[0].Complete, r.Calls[0].Err, r.Calls[0].EndedAt = 0, "", false, errors.New("EOF"), after(11.9)
			r.Faults = []Interval{{Kind: EntryStopped, From: after(9), To: after(12)}}
			r.Runs = nil
		},
		"no process ends by itself":      func(r *Records) { r.Exits = []Exit{{Unrequested: true}} },
		"recovery":                       func(r *Records) { r.Calls = append(r.Calls, callsRefusedInRecovery()...) },
		"a planned stop cuts nothing":    func(r *Records) { r.Exits = []Exit{{StopRequestedAt: after(20), Took: time.Second, Code: 4}} },
		"a planned stop ends in time":    func(r *Records) { r.Exits = []Exit{{StopRequestedAt: after(20), Took: 12 * time.Second}} },
		"an answer or a failure in time": func(r *Records) { r.Calls[0].EndedAt = after(14) },
		"nothing is cut": func(r *Records) {
			r.Calls[0].Status, r.Calls[0].Signature, r.Calls[0].Complete, r.Calls[0].Err = 0, "", false, errors.New("reset")
		},
		"a caller that leaves ends the work": func(r *Records) {
			r.Calls[0].Disconnected, r.Calls[0].Complete, r.Runs[0].EndedAt = true, false, after(15)
		},
		"a configuration is in force in time": func(r *Records) {
			r.Configs = append(r.Configs, ConfigChange{4, after(20)})
			probe(r, "p1", 24, 404, 4)
		},
		sentOn: func(r *Records) {
			for i := range crashLimit + maxExtraSends + 1 {
				id := fmt.Sprint("f", i)
				at := after(20 + 5*float64(i))
				r.Crashes = append(r.Crashes, Crash{PoisonNumber: 1, Server: id, At: at})
				r.Calls = append(r.Calls, Call{ID: id, Kind: AtMostOnce, Path: "/order/fatal", PoisonNumber: 1, StartedAt: at, EndedAt: at, Timeout: time.Second, Status: 502, Complete: true})
				r.Arrivals = append(r.Arrivals, Arrival{ID: id, Server: id, Service: plain, At: at})
			}
		},
		"only a request that ends servers is refused for it": func(r *Records) {
			r.Calls[0].Status, r.Calls[0].Signature, r.Calls[0].Body, r.Runs = 503, "", "{"+quarantinedCode+"}", nil
		},
		"a leaving server gets nothing new": func(r *Records) { r.DrainingSince["w"] = after(5) },
		"an evacuated zone gets nothing new": func(r *Records) {
			r.Servers["w"].Zone = zoneNames[1]
			r.Evacuations = []Interval{{Kind: ZoneEvacuated, From: after(1), To: after(30)}}
		},
		"a cold server gets what it bears": func(r *Records) {
			r.Servers["w"].ColdUntil = after(30)
			for range maxColdRate {
				addRun(r, func(*Run) {})
			}
		},
	}
	for guarantee, violate := range cases {
		t.Run(guarantee, func(t *testing.T) {
			r := validRecords()
			violate(r)
			require.Contains(t, brokenGuarantees(r), guarantee)
		})
	}
}

func signatureOf(status int) string {
	if status == 200 {
		return "s"
	}
	return ""
}

func callsRefusedInRecovery() []Call {
	var calls []Call
	for _, id := range []string{"x", "y", "z"} {
		calls = append(calls, Call{ID: id, Kind: Retryable, Path: "/read/x", StartedAt: after(104), EndedAt: after(104.1), Timeout: time.Second, Status: 503, Complete: true})
	}
	return calls
}

// An entry that was paused or cut off from the store when a server started to drain can't know
// that, so the bound doesn't apply to it. It applies again once the fault is long over.
func TestBoundsApplyOnlyToStableEntries(t *testing.T) {
	for _, kind := range []FaultKind{EntryPaused, StoreLink, StoreRefuses} {
		r := validRecords()
		r.DrainingSince["w"] = after(5)
		r.Faults = []Interval{{Kind: kind, From: after(4), To: after(9)}}
		require.Empty(t, Check(r, true), kind)
		r.Faults[0].To = after(6)
		require.NotEmpty(t, Check(r, true), kind)
	}
}

// The link of an entry drops traffic, also later on the connections that were open. A caller that
// reuses one of them long after can't get a response, as its request never reaches the entry. On a
// newer connection the bound applies.
func TestADroppedConnectionExcusesItsLaterUse(t *testing.T) {
	const guarantee = "an answer or a failure in time"
	r := validRecords()
	r.Calls[0].EndedAt = r.Calls[0].StartedAt.Add(9 * time.Second)
	dropped := r.Calls[0].StartedAt.Add(-10 * time.Second)
	r.Faults = append(r.Faults, Interval{Kind: CallerLink, Target: r.Calls[0].Entry, From: dropped, To: dropped.Add(time.Second)})
	require.Contains(t, brokenGuarantees(r), guarantee)
	r.Calls[0].ConnIdleTime = 11 * time.Second
	require.NotContains(t, brokenGuarantees(r), guarantee)
}

// A poison request is rare, and its third crash comes in the recovery phase. The send that causes
// the crash is allowed; the next one is not.
func TestTheThirdCrashMayComeInTheRecoveryPhase(t *testing.T) {
	r := validRecords()
	for i := range crashLimit {
		id, at := fmt.Sprint("f", i), after(102+float64(i))
		r.Crashes = append(r.Crashes, Crash{PoisonNumber: 1, Server: id, At: at})
		r.Calls = append(r.Calls, Call{ID: id, Kind: AtMostOnce, Path: "/order/fatal", PoisonNumber: 1, StartedAt: at, EndedAt: at, Timeout: time.Second, Status: 502, Complete: true})
		r.Arrivals = append(r.Arrivals, Arrival{ID: id, Server: id, Service: plain, At: at})
	}
	require.NotContains(t, brokenGuarantees(r), sentOn)
	late := after(102 + crashLimit + 1)
	r.Calls = append(r.Calls, Call{ID: "late", Kind: AtMostOnce, Path: "/order/fatal", PoisonNumber: 1, StartedAt: late, EndedAt: late, Timeout: time.Second, Status: 502, Complete: true})
	r.Arrivals = append(r.Arrivals, Arrival{ID: "late", Server: "f9", Service: plain, At: late})
	require.Contains(t, brokenGuarantees(r), sentOn)
}

// Two poison requests ran at the same crashed servers, so the crashes can't be attributed to one
// of them. Each may be sent three more times, as required, and not a fourth time.
func TestAmbiguousPoisonRequestsMayBeSentThreeMoreTimes(t *testing.T) {
	r := validRecords()
	send := func(number int, id string, at time.Time) {
		r.Calls = append(r.Calls, Call{ID: id, Kind: AtMostOnce, Path: "/order/fatal", PoisonNumber: number, StartedAt: at, EndedAt: at, Timeout: time.Second, Status: 502, Complete: true})
		r.Arrivals = append(r.Arrivals, Arrival{ID: id, Server: "w-" + id[1:], Service: plain, At: at})
		r.Runs = append(r.Runs, &Run{ID: id, Server: "w-" + id[1:], Service: plain, Workspace: "press", StartedAt: at, EndedAt: at, Remaining: time.Nanosecond, Faulty: true})
	}
	for i := range crashLimit {
		id, at := fmt.Sprint("a", i), after(90+float64(i))
		send(1, id, at)
		send(2, fmt.Sprint("b", i), at)
		r.Crashes = append(r.Crashes, Crash{PoisonNumber: 1, Server: "w-" + id[1:], At: at})
	}
	for i := range maxExtraSends {
		send(1, fmt.Sprint("c1", i), after(103+0.1*float64(i)))
	}
	require.NotContains(t, brokenGuarantees(r), sentOn)
	send(1, "c9", after(104))
	require.Contains(t, brokenGuarantees(r), sentOn)
}

// Guards against a finding for a poison request whose crashes the entries couldn't attribute: it or
// another one was under way to the server that the other one crashed, and the reset of its
// connection came before the server had read it. It may be sent three more times, as required, and
// not a fourth time. A poison request of another service doesn't excuse any further send.
func TestAPoisonRequestUnderWayToACrashedServerIsAmbiguous(t *testing.T) {
	const number, other = 3, 2 // both are for plain servers
	records := func(underWay Call, crash, lateSends int) *Records {
		r := validRecords()
		send := func(id string, at time.Time) {
			r.Calls = append(r.Calls, Call{ID: id, Kind: AtMostOnce, Path: "/order/fatal", PoisonNumber: number, StartedAt: at, EndedAt: at, Timeout: time.Second, Status: 502, Complete: true})
			r.Arrivals = append(r.Arrivals, Arrival{ID: id, Server: "w-" + id, Service: plain, At: at})
			r.Runs = append(r.Runs, &Run{ID: id, Server: "w-" + id, Service: plain, Workspace: "press", StartedAt: at, EndedAt: at, Remaining: time.Nanosecond, Faulty: true})
		}
		for i := range crashLimit {
			id, at := fmt.Sprint("a", i), after(90+float64(i))
			send(id, at)
			r.Crashes = append(r.Crashes, Crash{PoisonNumber: number, Server: "w-" + id, At: at})
		}
		r.Crashes = append(r.Crashes, Crash{PoisonNumber: crash, Server: "v", At: after(80)})
		underWay.ID, underWay.Timeout, underWay.Disconnected = "under way", time.Second, true
		r.Calls = append(r.Calls, underWay)
		for i := range lateSends {
			send(fmt.Sprint("late", i), after(103.5+0.1*float64(i)))
		}
		return r
	}
	cancelDelay := maxCancelDelay.Seconds()
	another := Call{Kind: Retryable, PoisonNumber: other, StartedAt: after(89), EndedAt: after(90.1)}
	require.NotContains(t, brokenGuarantees(records(another, number, maxExtraSends)), sentOn)
	require.Contains(t, brokenGuarantees(records(another, number, maxExtraSends+1)), sentOn)
	another.EndedAt = after(90.1 - cancelDelay)
	require.NotContains(t, brokenGuarantees(records(another, number, 1)), sentOn, "its caller had just disconnected")
	another.EndedAt = after(89.9 - cancelDelay)
	require.Contains(t, brokenGuarantees(records(another, number, 1)), sentOn, "it had ended before")
	another.EndedAt, another.Kind = after(90.1), ResumableStream
	require.Contains(t, brokenGuarantees(records(another, number, 1)), sentOn, "it is of another service")
	own := Call{Kind: AtMostOnce, PoisonNumber: number, StartedAt: after(79.9), EndedAt: after(80.1)}
	require.NotContains(t, brokenGuarantees(records(own, other, 1)), sentOn, "the other one crashed a server")
	require.Contains(t, brokenGuarantees(records(own, 1, 1)), sentOn, "the other one crashed a server of another service")
}

// Two poison requests that delay each other's quarantine crash both servers of a service, the last
// time after all faults. Calls can't succeed until one server is back; from then on they must.
func TestRecoveryIsNotRequiredWithoutServers(t *testing.T) {
	r := validRecords()
	r.Calls = append(r.Calls, callsRefusedInRecovery()...)
	r.Servers["w"].To = after(103.9)
	r.Servers["v"] = &ServerLifetime{Service: plain, From: runStart, To: after(104.05)}
	r.Servers["u"] = &ServerLifetime{Service: engines, From: runStart}
	require.NotContains(t, brokenGuarantees(r), "recovery")
	r.Servers["w"].To = after(104.2)
	require.Contains(t, brokenGuarantees(r), "recovery")
	r.Servers["w"].To = after(103.9)
	r.Servers["x"] = &ServerLifetime{Service: plain, From: after(104)}
	require.Contains(t, brokenGuarantees(r), "recovery")
}

// A stream that is still being written when the graceful shutdown of its entry reaches its limit is
// aborted. That is allowed while its server is at work, and a finding if the server had finished
// before, or if the request came more than three seconds after SIGTERM.
func TestAStreamThatOutlastsAShutdownMayBeAborted(t *testing.T) {
	const guarantee = "nothing is cut"
	r := validRecords()
	r.Calls[0].Complete, r.Calls[0].Err, r.Calls[0].EndedAt, r.Calls[0].Timeout = false, errors.New("reset"), after(17.4), longTimeout
	r.Calls[0].Kind, r.Runs[0].Service, r.Runs[0].EndedAt = ResumableStream, engines, after(17.4)
	r.Faults = []Interval{{Kind: EntryStopped, From: after(10.05), To: after(17.5)}}
	r.Exits = []Exit{{Code: 4, StopRequestedAt: after(10.05), Took: 7450 * time.Millisecond}}
	require.Empty(t, Check(r, true))
	r.Runs[0].EndedAt = after(16)
	require.Contains(t, brokenGuarantees(r), guarantee, "the server had finished it")
	r.Runs[0].EndedAt = after(17.4)
	r.Faults[0].From = after(6.9)
	require.Contains(t, brokenGuarantees(r), guarantee, "it came more than three seconds after SIGTERM")
	r.Calls[0].EndedAt = after(10.4)
	r.Faults[0].From = after(10.05)
	require.Contains(t, brokenGuarantees(r), "a planned stop cuts nothing", "nothing was open at the limit")
}

// Requests may reach a zone shortly after the start of an evacuation, and at once after its end. A
// cold server may get maxColdRate requests in a second, and more once it is no longer cold.
func TestEvacuatedZonesAndColdServersMayServe(t *testing.T) {
	r := validRecords()
	r.Servers["w"].Zone, r.Servers["w"].ColdUntil = zoneNames[1], after(10)
	r.Evacuations = []Interval{{Kind: ZoneEvacuated, From: after(9)}, {Kind: ZoneEvacuated, From: after(1), To: after(10)}}
	for i := range 2 * maxColdRate {
		run := *r.Runs[0]
		run.ID, run.StartedAt, run.EndedAt = fmt.Sprint("w", i), after(10.02), after(10.03)
		r.Runs = append(r.Runs, &run)
		call := r.Calls[0]
		call.ID = run.ID
		r.Calls = append(r.Calls, call)
	}
	require.Empty(t, Check(r, true))
}

// brokenGuarantees returns the guarantees that the records of a run violate.
func brokenGuarantees(r *Records) []string {
	var guarantees []string
	for _, f := range Check(r, true) {
		guarantees = append(guarantees, f.Guarantee)
	}
	return guarantees
}

// A graceful shutdown does not excuse an aborted request, a kill does.
func TestOnlyUnplannedFaultsExcuseAnAbort(t *testing.T) {
	r := validRecords()
	r.Calls[0].Status, r.Calls[0].Signature, r.Calls[0].Complete, r.Calls[0].Err = 0, "", false, errors.New("reset")
	r.Faults = []Interval{{Kind: EntryStopped, From: after(9), To: after(11)}}
	require.NotEmpty(t, Check(r, true))
	r.Faults = append(r.Faults, Interval{Kind: EntryKilled, From: after(10.05), To: after(10.06)})
	require.Empty(t, Check(r, true))
}

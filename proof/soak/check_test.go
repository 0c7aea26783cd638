package soak

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/platform/standin"
)

var began = time.Unix(1_000_000, 0)

func after(seconds float64) time.Time {
	return began.Add(time.Duration(seconds * float64(time.Second)))
}

// soundRecords are of a run in which one order is served and nothing is broken.
func soundRecords() *Records {
	r := newRecords()
	r.ChangeBound = DefaultChangeBound
	r.Starts[0] = []time.Time{began}
	r.Configs = []ConfigChange{{1, began}, {2, began}, {3, began}}
	r.Calm = after(100)
	r.Lives["w"] = &Life{Service: plain, From: began}
	r.Calls = []Call{{ID: "a", Kind: Order, Path: "/order/x", Began: after(10), Ended: after(10.1), Wait: 2 * time.Second, Status: 200, Signature: "s", Whole: true}}
	r.Runs = []*Run{{ID: "a", Worker: "w", Service: plain, Workspace: "press", Began: after(10.01), Ended: after(10.09), Status: 200, Remaining: time.Second}}
	r.Arrivals = []Arrival{{ID: "a", Worker: "w", Service: plain, At: after(10.01)}}
	return r
}

func TestASoundRunHasNoFindings(t *testing.T) {
	require.Empty(t, Check(soundRecords(), true))
}

// Each promise in turn is broken in the records; the checker must name it.
func TestEachBrokenPromiseIsFound(t *testing.T) {
	again := func(r *Records, change func(*Run)) {
		run := *r.Runs[0]
		change(&run)
		r.Runs = append(r.Runs, &run)
	}
	probe := func(r *Records, id string, at float64, status, marker int) {
		r.Calls = append(r.Calls, Call{ID: id, Kind: Probe, Began: after(at), Ended: after(at + 0.1), Wait: time.Second, Status: status, Signature: signatureOf(status), Marker: marker, Whole: true})
	}
	cases := map[string]func(r *Records){
		"at most once":                        func(r *Records) { again(r, func(run *Run) { run.Worker = "other" }) },
		"not run is true":                     func(r *Records) { r.Calls[0].Status, r.Calls[0].Signature = 503, "" },
		"the whole answer to its own request": func(r *Records) { r.Calls[0].Spoiled = "another's" },
		"no proper request is denied":         func(r *Records) { r.Calls[0].Status, r.Calls[0].Signature, r.Runs = 404, "", nil },
		"only callers' requests run":          func(r *Records) { again(r, func(run *Run) { run.ID = "unknown" }) },
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
			r.Held = []standin.ReservationSpan{{ID: "a", From: after(1), To: after(12)}, {ID: "b", From: after(1), To: after(12)}}
			r.Used["b"] = after(2)
		},
		"memory comes back": func(r *Records) { r.Reserved["w"] = 1 },
		answeredRead: func(r *Records) {
			r.Calls[0].Status, r.Calls[0].Signature, r.Calls[0].Whole, r.Calls[0].Err, r.Calls[0].Ended = 0, "", false, errors.New("EOF"), after(11.9)
			r.Faults = []Interval{{Kind: EntryStopped, From: after(9), To: after(12)}}
			r.Runs = nil
		},
		"no process ends by itself":      func(r *Records) { r.Exits = []Exit{{ByItself: true}} },
		"recovery":                       func(r *Records) { r.Calls = append(r.Calls, refusedLate()...) },
		"a planned stop cuts nothing":    func(r *Records) { r.Exits = []Exit{{Began: after(20), Took: time.Second, Code: 4}} },
		"a planned stop ends in time":    func(r *Records) { r.Exits = []Exit{{Began: after(20), Took: 12 * time.Second}} },
		"an answer or a failure in time": func(r *Records) { r.Calls[0].Ended = after(14) },
		"nothing is cut": func(r *Records) {
			r.Calls[0].Status, r.Calls[0].Signature, r.Calls[0].Whole, r.Calls[0].Err = 0, "", false, errors.New("reset")
		},
		"a caller that leaves ends the work": func(r *Records) {
			r.Calls[0].Left, r.Calls[0].Whole, r.Runs[0].Ended = true, false, after(15)
		},
		"a configuration is in force in time": func(r *Records) {
			r.Configs = append(r.Configs, ConfigChange{4, after(20)})
			probe(r, "p1", 24, 404, 4)
		},
		sentOn: func(r *Records) {
			for i := range fatalEnds + fatalMore + 1 {
				id := fmt.Sprint("f", i)
				at := after(20 + 5*float64(i))
				r.Ends = append(r.Ends, End{Fatal: 1, Worker: id, At: at})
				r.Calls = append(r.Calls, Call{ID: id, Kind: Order, Path: "/order/fatal", Fatal: 1, Began: at, Ended: at, Wait: time.Second, Status: 502, Whole: true})
				r.Arrivals = append(r.Arrivals, Arrival{ID: id, Worker: id, Service: plain, At: at})
			}
		},
		"only a request that ends servers is refused for it": func(r *Records) {
			r.Calls[0].Status, r.Calls[0].Signature, r.Calls[0].Body, r.Runs = 503, "", "{"+quarantinedCode+"}", nil
		},
		"a leaving server gets nothing new": func(r *Records) { r.Leaving["w"] = after(5) },
		"an evacuated zone gets nothing new": func(r *Records) {
			r.Lives["w"].Zone = zones[1]
			r.Evacuations = []Interval{{Kind: ZoneEvacuated, From: after(1), To: after(30)}}
		},
		"a cold server gets what it bears": func(r *Records) {
			r.Lives["w"].Cold = after(30)
			for range coldRate {
				again(r, func(*Run) {})
			}
		},
	}
	for promise, breaks := range cases {
		t.Run(promise, func(t *testing.T) {
			r := soundRecords()
			breaks(r)
			require.Contains(t, promisesOf(r), promise)
		})
	}
}

func signatureOf(status int) string {
	if status == 200 {
		return "s"
	}
	return ""
}

func refusedLate() []Call {
	var calls []Call
	for _, id := range []string{"x", "y", "z"} {
		calls = append(calls, Call{ID: id, Kind: Read, Path: "/read/x", Began: after(104), Ended: after(104.1), Wait: time.Second, Status: 503, Whole: true})
	}
	return calls
}

// An entry was paused when a server left; it can't have heard of it, and the bound
// does not hold for it. The same goes for one that was cut off from the store.
func TestBoundsHoldOnlyForEntriesInTouch(t *testing.T) {
	for _, kind := range []Kind{EntryPaused, StoreLink, StoreRefuses} {
		r := soundRecords()
		r.Leaving["w"] = after(5)
		r.Faults = []Interval{{Kind: kind, From: after(4), To: after(9)}}
		require.Empty(t, Check(r, true), kind)
		r.Faults[0].To = after(6)
		require.NotEmpty(t, Check(r, true), kind)
	}
}

// The link of an entry is silenced, and its open connections stay so. A caller who comes seldom uses one
// of them long after: its request never reaches the entry, which can't answer it. On a connection that
// was not there yet the bound holds.
func TestASilencedConnectionExcusesWhoUsesItLater(t *testing.T) {
	const promise = "an answer or a failure in time"
	r := soundRecords()
	r.Calls[0].Ended = r.Calls[0].Began.Add(9 * time.Second)
	silenced := r.Calls[0].Began.Add(-10 * time.Second)
	r.Faults = append(r.Faults, Interval{Kind: FrontLink, Target: r.Calls[0].Entry, From: silenced, To: silenced.Add(time.Second)})
	require.Contains(t, promisesOf(r), promise)
	r.Calls[0].Idle = 11 * time.Second
	require.NotContains(t, promisesOf(r), promise)
}

// A request that ends servers comes seldom. Its third end lies in the calm part, and is no send
// too many; the next one is.
func TestTheThirdEndMayComeLate(t *testing.T) {
	r := soundRecords()
	for i := range fatalEnds {
		id, at := fmt.Sprint("f", i), after(102+float64(i))
		r.Ends = append(r.Ends, End{Fatal: 1, Worker: id, At: at})
		r.Calls = append(r.Calls, Call{ID: id, Kind: Order, Path: "/order/fatal", Fatal: 1, Began: at, Ended: at, Wait: time.Second, Status: 502, Whole: true})
		r.Arrivals = append(r.Arrivals, Arrival{ID: id, Worker: id, Service: plain, At: at})
	}
	require.NotContains(t, promisesOf(r), sentOn)
	late := after(102 + fatalEnds + 1)
	r.Calls = append(r.Calls, Call{ID: "late", Kind: Order, Path: "/order/fatal", Fatal: 1, Began: late, Ended: late, Wait: time.Second, Status: 502, Whole: true})
	r.Arrivals = append(r.Arrivals, Arrival{ID: "late", Worker: "f9", Service: plain, At: late})
	require.Contains(t, promisesOf(r), sentOn)
}

// Two requests ended the same servers, and nobody can tell which of them did. Each may be sent three
// times more, as the users' rule says, and not a fourth time.
func TestTwoThatHideEachOtherHaveThreeSendsMore(t *testing.T) {
	r := soundRecords()
	send := func(number int, id string, at time.Time) {
		r.Calls = append(r.Calls, Call{ID: id, Kind: Order, Path: "/order/fatal", Fatal: number, Began: at, Ended: at, Wait: time.Second, Status: 502, Whole: true})
		r.Arrivals = append(r.Arrivals, Arrival{ID: id, Worker: "w-" + id[1:], Service: plain, At: at})
		r.Runs = append(r.Runs, &Run{ID: id, Worker: "w-" + id[1:], Service: plain, Workspace: "press", Began: at, Ended: at, Remaining: time.Nanosecond, Spoiled: true})
	}
	for i := range fatalEnds {
		id, at := fmt.Sprint("a", i), after(90+float64(i))
		send(1, id, at)
		send(2, fmt.Sprint("b", i), at)
		r.Ends = append(r.Ends, End{Fatal: 1, Worker: "w-" + id[1:], At: at})
	}
	for i := range fatalMore {
		send(1, fmt.Sprint("c1", i), after(103+0.1*float64(i)))
	}
	require.NotContains(t, promisesOf(r), sentOn)
	send(1, "c9", after(104))
	require.Contains(t, promisesOf(r), sentOn)
}

// Two requests that hide each other end both servers of a service, the last time after all faults. Nobody
// can be served until one is back; from then on callers have to be.
func TestRecoveryIsNotAskedForWithoutServers(t *testing.T) {
	r := soundRecords()
	r.Calls = append(r.Calls, refusedLate()...)
	r.Lives["w"].To = after(103.9)
	r.Lives["v"] = &Life{Service: plain, From: began, To: after(104.05)}
	r.Lives["u"] = &Life{Service: engines, From: began}
	require.NotContains(t, promisesOf(r), "recovery")
	r.Lives["w"].To = after(104.2)
	require.Contains(t, promisesOf(r), "recovery")
	r.Lives["w"].To = after(103.9)
	r.Lives["x"] = &Life{Service: plain, From: after(104)}
	require.Contains(t, promisesOf(r), "recovery")
}

// A stream is still written when the stop of its entry comes to its limit, and is cut off. That is no finding
// if its server was at work; it is one if the server had ended before, or the request came late.
func TestAStreamThatOutlastsAStopMayBeCut(t *testing.T) {
	const promise = "nothing is cut"
	r := soundRecords()
	r.Calls[0].Whole, r.Calls[0].Err, r.Calls[0].Ended, r.Calls[0].Wait = false, errors.New("reset"), after(17.4), longWait
	r.Calls[0].Kind, r.Runs[0].Service, r.Runs[0].Ended = Stream, engines, after(17.4)
	r.Faults = []Interval{{Kind: EntryStopped, From: after(10.05), To: after(17.5)}}
	r.Exits = []Exit{{Code: 4, Began: after(10.05), Took: 7450 * time.Millisecond}}
	require.Empty(t, Check(r, true))
	r.Runs[0].Ended = after(16)
	require.Contains(t, promisesOf(r), promise, "the server had ended it")
	r.Runs[0].Ended = after(17.4)
	r.Faults[0].From = after(6.9)
	require.Contains(t, promisesOf(r), promise, "it came more than three seconds after SIGTERM")
	r.Calls[0].Ended = after(10.4)
	r.Faults[0].From = after(10.05)
	require.Contains(t, promisesOf(r), "a planned stop cuts nothing", "nothing was open at the limit")
}

// Requests reach a zone shortly after it was evacuated, and as soon as it is taken back; a server gets as many in a second
// as it bears while it is cold, and more once it is not.
func TestEvacuatedZonesAndColdServersMayServe(t *testing.T) {
	r := soundRecords()
	r.Lives["w"].Zone, r.Lives["w"].Cold = zones[1], after(10)
	r.Evacuations = []Interval{{Kind: ZoneEvacuated, From: after(9)}, {Kind: ZoneEvacuated, From: after(1), To: after(10)}}
	for i := range 2 * coldRate {
		run := *r.Runs[0]
		run.ID, run.Began, run.Ended = fmt.Sprint("w", i), after(10.02), after(10.03)
		r.Runs = append(r.Runs, &run)
		call := r.Calls[0]
		call.ID = run.ID
		r.Calls = append(r.Calls, call)
	}
	require.Empty(t, Check(r, true))
}

// promisesOf are the promises that the records of a run show broken.
func promisesOf(r *Records) []string {
	var promises []string
	for _, f := range Check(r, true) {
		promises = append(promises, f.Promise)
	}
	return promises
}

// A planned stop is no reason to cut a request, a kill is.
func TestOnlyUnplannedFaultsExcuseACut(t *testing.T) {
	r := soundRecords()
	r.Calls[0].Status, r.Calls[0].Signature, r.Calls[0].Whole, r.Calls[0].Err = 0, "", false, errors.New("reset")
	r.Faults = []Interval{{Kind: EntryStopped, From: after(9), To: after(11)}}
	require.NotEmpty(t, Check(r, true))
	r.Faults = append(r.Faults, Interval{Kind: EntryKilled, From: after(10.05), To: after(10.06)})
	require.Empty(t, Check(r, true))
}

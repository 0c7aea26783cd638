package fleet

import (
	"strconv"
	"time"

	"arbutusdeck/core/peering"
)

// Links of the hosts, in Mbit/s.
const (
	slowLink = 20
	fastLink = 200
)

// Times of an entry's own work.
const (
	// restartDelay is after how long the platform starts a process that has ended.
	restartDelay = 500 * time.Millisecond
	// startPoll is how often a starting entry looks whether it has to read the store.
	startPoll = 5 * time.Millisecond
	// readerPoll is how often another one does.
	readerPoll = 100 * time.Millisecond
	// catchUpDelay is how long an entry that hears of a later view waits before it fetches it.
	catchUpDelay = 60 * time.Millisecond
)

// version is that of the one configuration that is played.
const version = 18

// entry is one entry: its core, and what the daemon does around it.
type entry struct {
	fleet    *fleet
	index    int
	name     string
	zone     string
	linkMbps int
	seeds    []string

	group *peering.Group
	// life counts the starts; what was begun in an earlier one is over.
	life     int
	runs     bool
	serving  bool
	reads    bool
	began    time.Time
	asked    time.Time
	fine     time.Time
	revision uint64
	turn     int
	// behind says that a look at what others know is due.
	behind bool
	// busyUntil is when its link has sent the views that others fetch.
	busyUntil time.Time
}

// later runs something in this life of the entry.
func (e *entry) later(d time.Duration, run func()) {
	life := e.life
	e.fleet.clock.After(d, func() {
		if e.runs && e.life == life {
			run()
		}
	})
}

func (e *entry) now() time.Time { return e.fleet.clock.Now }

func (e *entry) begin() {
	e.life++
	e.runs, e.serving, e.reads, e.behind, e.revision, e.turn = true, false, false, false, 0, 0
	e.fine, e.began, e.asked = time.Time{}, e.now(), e.now()
	e.group = peering.New(e.name, e.zone, strconv.Itoa(e.life), e.seeds)
	e.group.SetReading(peering.ReadOptions{Capacity: e.linkMbps, Limit: e.fleet.options.MaxPropagationDelay})
	e.heartbeat()
	e.learn()
}

func (e *entry) kill(away time.Duration) {
	e.runs = false
	e.fleet.clock.After(away+restartDelay, e.begin)
}

// learn takes over what another entry knows, or reads the store.
func (e *entry) learn() {
	now := e.now()
	source, known := e.group.Source(now)
	switch {
	case source != "":
		e.fetch(source)
		return
	case !known && e.group.FirstRead(now, now.Sub(e.began)):
		e.fleet.result.InitialReads++
		e.readAll()
		return
	case e.group.Lonely() && now.Sub(e.asked) >= peering.AskAgain:
		e.asked = now
		e.send(e.group.NearKnown(), peering.Message{Asks: true}, Question)
	}
	e.later(startPoll, e.learn)
}

// fetch takes over the view of an entry of the zone as this one starts.
func (e *entry) fetch(source string) {
	e.fetchView(source, func(ok bool) {
		if !ok {
			e.learn()
			return
		}
		e.serve()
		e.look()
	})
}

// catchUp takes over the view of an entry that knows more, unless this one reads the store.
func (e *entry) catchUp() {
	e.behind = false
	source, ok := e.group.Newer(e.now(), version, e.revision, true)
	if e.reads || !ok {
		return
	}
	e.behind = true
	e.fetchView(source, func(bool) { e.behind = false })
}

// fetchView takes over the view of another entry, whose link sends one after the other.
func (e *entry) fetchView(source string, done func(ok bool)) {
	from := e.fleet.byName[source]
	bytes := viewBytes(e.fleet.options.Servers)
	e.fleet.result.view(bytes, from.zone != e.zone)
	sent := transfer(bytes, from.linkMbps)
	from.busyUntil = latest(from.busyUntil, e.now()).Add(sent)
	e.later(from.busyUntil.Sub(e.now())+transfer(bytes, e.linkMbps), func() {
		if !from.runs {
			done(false)
			return
		}
		if from.revision > e.revision {
			e.revision = from.revision
			if e.serving {
				e.fleet.result.learned(e, e.revision)
			}
		}
		done(true)
	})
}

func transfer(bytes, mbps int) time.Duration {
	return time.Duration(float64(bytes) * 8 / float64(mbps) * float64(time.Microsecond))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// readAll reads the whole list and the configuration from the store, and then follows its changes.
func (e *entry) readAll() {
	e.fleet.store.readAll(e, func(ok bool) {
		if !ok {
			e.later(storeRetry, e.learn)
			return
		}
		e.know(e.fleet.store.revision)
		if e.serve(); !e.serving {
			e.send(e.group.NearKnown(), peering.Message{}, Announcement)
		}
		e.follow()
	})
}

func (e *entry) know(revision uint64) {
	e.fine = e.now()
	e.reads = true
	if revision > e.revision {
		e.revision = revision
		e.fleet.result.learned(e, revision)
	}
}

// serve lets the entry take requests.
func (e *entry) serve() {
	if e.serving {
		return
	}
	if empty := e.fleet.options.EmptyFor - e.now().Sub(e.fleet.start); empty > 0 {
		e.later(empty, e.serve)
		return
	}
	e.serving = true
	e.fleet.result.served(e)
	e.group.Divide(e.fleet.options.LocalRouting)
	e.group.Serve(true)
	e.send(e.group.NearKnown(), peering.Message{}, Announcement)
}

// look looks whether the entry has to read the store.
func (e *entry) look() {
	if !e.group.ShouldRead(e.now(), e.state()) {
		e.reads = false
		e.later(readerPoll, e.look)
		return
	}
	e.reads = true
	e.follow()
}

// follow waits for changes of the store as long as the entry has to read it.
func (e *entry) follow() {
	if !e.group.ShouldRead(e.now(), e.state()) {
		e.reads = false
		e.look()
		return
	}
	options := peering.ReadOptions{Limit: e.fleet.options.MaxPropagationDelay}
	wait, pause := options.Wait(2*time.Second), options.Pause()
	e.fleet.store.watch(e, wait, func(ok bool) {
		if !ok {
			e.reads = false
			e.later(storeRetry, e.look)
			return
		}
		changed := e.fleet.store.revision > e.revision
		e.know(e.fleet.store.revision)
		if changed {
			e.tellChange()
		}
		e.later(pause, e.follow)
	})
}

// tellChange tells the zone of a change of one row.
func (e *entry) tellChange() {
	update := &peering.Update{Base: e.revision - 1, Upto: e.revision}
	e.send(e.group.In(e.now(), e.zone), peering.Message{Update: update}, Update)
}

func (e *entry) state() peering.StoreState {
	return peering.StoreState{Reads: e.reads && !e.fine.IsZero(), Lost: e.fleet.store.refused[e], Age: e.now().Sub(e.fine)}
}

func (e *entry) send(targets []string, m peering.Message, kind MessageKind) {
	if len(targets) == 0 {
		return
	}
	m.From, m.Zone, m.Incarnation = e.name, e.zone, "5f1c07a"+strconv.Itoa(e.life%10)
	m.Version, m.Revision, m.Capacity = version, e.revision, e.linkMbps
	m.SetStore(e.state())
	m.Starting = !e.serving
	data, err := peering.Encode(m)
	if err != nil {
		panic(err) // a message that a core has made can be written
	}
	e.fleet.send(e, targets, m, kind, len(data))
}

func (e *entry) take(m peering.Message) {
	if !e.runs {
		return
	}
	now := e.now()
	e.fleet.result.received(e)
	sender := e.group.Heard(now, m)
	if m.Update != nil && m.Update.Upto > e.revision && e.revision > 0 {
		e.revision = m.Update.Upto
		e.fleet.result.learned(e, e.revision)
	}
	if m.Revision > e.revision && e.serving && !e.behind {
		e.behind = true
		e.later(catchUpDelay, e.catchUp)
	}
	if e.group.Redirects(now, m) {
		e.sendFar([]string{m.From}, 0, Redirection)
	}
	asked, told := e.group.Greets(now, sender.Found)
	e.send(asked, peering.Message{Asks: true}, Question)
	e.send(told, peering.Message{}, Greeting)
	switch {
	case m.Asks:
		e.sendMembers([]string{m.From}, e.group.Answer(now, m.Zone), Answer)
	case sender.Joined && sender.Near, e.group.Mistakes(m):
		e.send([]string{m.From}, peering.Message{}, Greeting)
	}
}

func (e *entry) sendMembers(targets []string, members []peering.ZoneMembers, kind MessageKind) {
	if len(targets) == 0 {
		return
	}
	for _, part := range peering.InParts(members) {
		e.send(targets, peering.Message{Members: part}, kind)
	}
}

func (e *entry) sendFar(targets []string, turn int, kind MessageKind) {
	if len(targets) == 0 {
		return
	}
	var m peering.Message
	m.SetRoom(0.5)
	m.SetRecordsSum(0)
	e.group.TellFar(e.now(), turn, &m)
	e.send(targets, m, kind)
}

func (e *entry) heartbeat() {
	now := e.now()
	e.group.Forget(now)
	beat := e.group.Heartbeat(now, e.turn)
	m := peering.Message{Asks: e.group.Asks(now), Sum: e.group.Sum(now), Zones: e.group.HandOn(now, e.turn)}
	m.SetRecordsSum(0)
	e.send(beat.Near, m, Heartbeat)
	if len(beat.Lists) > 0 {
		e.sendMembers(beat.Lists, e.group.Listed(now), List)
	}
	e.sendFar(beat.Far, e.turn, RemoteHeartbeat)
	e.turn++
	e.later(peering.HeartbeatInterval, e.heartbeat)
}

package fleet

import (
	"strconv"
	"time"

	"arbutusdeck/core/peering"
)

// Bandwidths of the hosts' links, in Mbit/s.
const (
	slowLink = 20
	fastLink = 200
)

// Delays and intervals of an entry's daemon.
const (
	// restartDelay is the time after which the platform restarts a terminated process.
	restartDelay = 500 * time.Millisecond
	// startPoll is the interval at which a starting entry checks whether it has to read the store.
	startPoll = 5 * time.Millisecond
	// readerPoll is the interval at which a started entry checks this.
	readerPoll = 100 * time.Millisecond
	// catchUpDelay is the delay between a message that advertises a later revision and the fetch of a view.
	catchUpDelay = 60 * time.Millisecond
)

// version is the version of the only configuration in a simulation.
const version = 18

// entry simulates one entry: its peering core and the parts of the daemon around it.
type entry struct {
	fleet    *fleet
	index    int
	name     string
	zone     string
	linkMbps int
	seeds    []string

	group *peering.Group
	// incarnation counts the starts. Callbacks of an earlier incarnation are dropped.
	incarnation int
	running     bool
	serving     bool
	reads       bool
	startedAt   time.Time
	askedAt     time.Time
	lastRead    time.Time
	revision    uint64
	round       int
	// catchingUp is set while a fetch of a later view is scheduled or under way.
	catchingUp bool
	// busyUntil is the time at which the link has sent all views that others fetch from this entry.
	busyUntil time.Time
}

// after runs a callback after a delay, unless the entry has been killed meanwhile.
func (e *entry) after(d time.Duration, run func()) {
	incarnation := e.incarnation
	e.fleet.clock.After(d, func() {
		if e.running && e.incarnation == incarnation {
			run()
		}
	})
}

func (e *entry) now() time.Time { return e.fleet.clock.Now }

func (e *entry) start() {
	e.incarnation++
	e.running, e.serving, e.reads, e.catchingUp, e.revision, e.round = true, false, false, false, 0, 0
	e.lastRead, e.startedAt, e.askedAt = time.Time{}, e.now(), e.now()
	e.group = peering.New(e.name, e.zone, strconv.Itoa(e.incarnation), e.seeds)
	e.group.SetReadOptions(peering.ReadOptions{Capacity: e.linkMbps, Limit: e.fleet.options.MaxPropagationDelay})
	e.heartbeat()
	e.bootstrap()
}

func (e *entry) kill(downtime time.Duration) {
	e.running = false
	e.fleet.clock.After(downtime+restartDelay, e.start)
}

// bootstrap fetches the view of another entry or reads the store. It polls until one of these is possible.
func (e *entry) bootstrap() {
	now := e.now()
	source, known := e.group.ListSource(now)
	switch {
	case source != "":
		e.fetch(source)
		return
	case !known && e.group.ShouldReadAtStart(now, now.Sub(e.startedAt)):
		e.fleet.result.InitialReads++
		e.readAll()
		return
	case e.group.NoPeerHeard() && now.Sub(e.askedAt) >= peering.SeedRetryInterval:
		e.askedAt = now
		e.send(e.group.KnownLocal(), peering.Message{WantsMembers: true}, Question)
	}
	e.after(startPoll, e.bootstrap)
}

// fetch fetches the first view from an entry of the zone, and starts to serve.
func (e *entry) fetch(source string) {
	e.fetchView(source, func(ok bool) {
		if !ok {
			e.bootstrap()
			return
		}
		e.serve()
		e.checkReader()
	})
}

// catchUp fetches the view of an entry with a later revision, unless this entry reads the store itself.
func (e *entry) catchUp() {
	e.catchingUp = false
	source, ok := e.group.NewerPeer(e.now(), version, e.revision, true)
	if e.reads || !ok {
		return
	}
	e.catchingUp = true
	e.fetchView(source, func(bool) { e.catchingUp = false })
}

// fetchView fetches and applies the view of another entry. The link of that entry sends one view at a time.
func (e *entry) fetchView(source string, done func(ok bool)) {
	from := e.fleet.byName[source]
	bytes := viewBytes(e.fleet.options.Servers)
	e.fleet.result.view(bytes, from.zone != e.zone)
	sent := transfer(bytes, from.linkMbps)
	from.busyUntil = latest(from.busyUntil, e.now()).Add(sent)
	e.after(from.busyUntil.Sub(e.now())+transfer(bytes, e.linkMbps), func() {
		if !from.running {
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

// readAll reads the whole server list and the configuration from the store, and then watches its changes.
func (e *entry) readAll() {
	e.fleet.store.readAll(e, func(ok bool) {
		if !ok {
			e.after(storeRetry, e.bootstrap)
			return
		}
		e.recordRead(e.fleet.store.revision)
		if e.serve(); !e.serving {
			e.send(e.group.KnownLocal(), peering.Message{}, Announcement)
		}
		e.follow()
	})
}

// recordRead notes a successful read of the store at a revision.
func (e *entry) recordRead(revision uint64) {
	e.lastRead = e.now()
	e.reads = true
	if revision > e.revision {
		e.revision = revision
		e.fleet.result.learned(e, revision)
	}
}

// serve makes the entry accept requests, as soon as the store is no longer empty.
func (e *entry) serve() {
	if e.serving {
		return
	}
	if empty := e.fleet.options.EmptyFor - e.now().Sub(e.fleet.start); empty > 0 {
		e.after(empty, e.serve)
		return
	}
	e.serving = true
	e.fleet.result.served(e)
	e.group.SetLocalRouting(e.fleet.options.LocalRouting)
	e.group.SetServing(true)
	e.send(e.group.KnownLocal(), peering.Message{}, Announcement)
}

// checkReader checks periodically whether the entry has to read the store.
func (e *entry) checkReader() {
	if !e.group.ShouldRead(e.now(), e.storeState()) {
		e.reads = false
		e.after(readerPoll, e.checkReader)
		return
	}
	e.reads = true
	e.follow()
}

// follow watches the store for changes as long as the entry has to read it.
func (e *entry) follow() {
	if !e.group.ShouldRead(e.now(), e.storeState()) {
		e.reads = false
		e.checkReader()
		return
	}
	options := peering.ReadOptions{Limit: e.fleet.options.MaxPropagationDelay}
	wait, pause := options.LongPollTimeout(2*time.Second), options.PollDelay()
	e.fleet.store.watch(e, wait, func(ok bool) {
		if !ok {
			e.reads = false
			e.after(storeRetry, e.checkReader)
			return
		}
		changed := e.fleet.store.revision > e.revision
		e.recordRead(e.fleet.store.revision)
		if changed {
			e.announceChange()
		}
		e.after(pause, e.follow)
	})
}

// announceChange sends a change of one row to the entries of the zone.
func (e *entry) announceChange() {
	update := &peering.Update{BaseRevision: e.revision - 1, UpToRevision: e.revision}
	e.send(e.group.RunningIn(e.now(), e.zone), peering.Message{Update: update}, Update)
}

func (e *entry) storeState() peering.StoreState {
	return peering.StoreState{Reads: e.reads && !e.lastRead.IsZero(), Lost: e.fleet.store.refused[e], Age: e.now().Sub(e.lastRead)}
}

func (e *entry) send(targets []string, m peering.Message, kind MessageKind) {
	if len(targets) == 0 {
		return
	}
	m.From, m.Zone, m.Incarnation = e.name, e.zone, "5f1c07a"+strconv.Itoa(e.incarnation%10)
	m.Version, m.Revision, m.Capacity = version, e.revision, e.linkMbps
	m.SetStoreState(e.storeState())
	m.Starting = !e.serving
	data, err := peering.Encode(m)
	if err != nil {
		panic(err) // the encoding of a core's message cannot fail
	}
	e.fleet.send(e, targets, m, kind, len(data))
}

func (e *entry) receive(m peering.Message) {
	if !e.running {
		return
	}
	now := e.now()
	e.fleet.result.received(e)
	sender := e.group.Observe(now, m)
	if m.Update != nil && m.Update.UpToRevision > e.revision && e.revision > 0 {
		e.revision = m.Update.UpToRevision
		e.fleet.result.learned(e, e.revision)
	}
	if m.Revision > e.revision && e.serving && !e.catchingUp {
		e.catchingUp = true
		e.after(catchUpDelay, e.catchUp)
	}
	if e.group.ShouldRedirect(now, m) {
		e.sendRemote([]string{m.From}, 0, Redirection)
	}
	asked, told := e.group.SplitGreetings(now, sender.Discovered)
	e.send(asked, peering.Message{WantsMembers: true}, Question)
	e.send(told, peering.Message{}, Greeting)
	switch {
	case m.WantsMembers:
		e.sendMembers([]string{m.From}, e.group.MembersFor(now, m.Zone), Answer)
	case sender.Joined && sender.Local, e.group.MistakenForLocal(m):
		e.send([]string{m.From}, peering.Message{}, Greeting)
	}
}

func (e *entry) sendMembers(targets []string, members []peering.ZoneMembers, kind MessageKind) {
	if len(targets) == 0 {
		return
	}
	for _, part := range peering.SplitMembers(members) {
		e.send(targets, peering.Message{Members: part}, kind)
	}
}

func (e *entry) sendRemote(targets []string, round int, kind MessageKind) {
	if len(targets) == 0 {
		return
	}
	var m peering.Message
	m.SetSpareCapacity(0.5)
	m.SetRecordsDigest(0)
	e.group.FillRemoteHeartbeat(e.now(), round, &m)
	e.send(targets, m, kind)
}

func (e *entry) heartbeat() {
	now := e.now()
	e.group.Forget(now)
	beat := e.group.HeartbeatTargets(now, e.round)
	m := peering.Message{WantsMembers: e.group.NeedsMembers(now), Digest: e.group.Digest(now), ZoneSummaries: e.group.RemoteSummaries(now, e.round)}
	m.SetRecordsDigest(0)
	e.send(beat.Local, m, Heartbeat)
	if len(beat.WithMembers) > 0 {
		e.sendMembers(beat.WithMembers, e.group.LocalMembers(now), List)
	}
	e.sendRemote(beat.Remote, e.round, RemoteHeartbeat)
	e.round++
	e.after(peering.HeartbeatInterval, e.heartbeat)
}

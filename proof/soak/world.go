package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"arbutusdeck/platform/standin"
)

// world is everything that runs: the daemons, the stand-ins, the links between them
// and the callers.
type world struct {
	options Options
	records *Records
	store   *standin.Store
	daemons []*daemon
	fronts  []*Link // from callers, by entry
	stores  []*Link // to the store, by entry
	slots   []*slot
	probing *http.Client

	mu      sync.Mutex
	version int
	// evacuating says that the second zone is to get nothing new.
	evacuating bool
}

// callersOfEntry is how many callers each entry has, beside the one that probes.
const callersOfEntry = 3

// seedEntries is how many entries the settings name to each other.
const seedEntries = 3

// lastingKey is never taken away.
const lastingKey = "key-1"

func markerPrefix(version int) string { return fmt.Sprintf("/m%d/", version) }
func markerKey(version int) string    { return fmt.Sprintf("marker-key-%d", version) }

func newWorld(o Options) (*world, error) {
	if o.ChangeBound == 0 {
		o.ChangeBound = DefaultChangeBound
	}
	w := &world{options: o, records: newRecords(), store: standin.NewStore(), probing: &http.Client{Timeout: time.Second}}
	w.records.ChangeBound = o.ChangeBound
	for range 3 {
		w.configure()
	}
	for i := range o.Workers {
		if err := w.addSlot(i); err != nil {
			return w, err
		}
	}
	var addresses, seeds []string
	for i := range o.Entries {
		addresses = append(addresses, newHost())
		if i < seedEntries {
			seeds = append(seeds, fmt.Sprintf("%s:%d", addresses[i], portPeers))
		}
	}
	for i, host := range addresses {
		if err := w.addEntry(i, host, seeds); err != nil {
			return w, err
		}
	}
	return w, w.awaitReady()
}

// addSlot adds a backend server: each third one of the plain service.
func (w *world) addSlot(index int) error {
	link, err := NewLink(fmt.Sprintf("%s:%d", newHost(), portServer), "")
	if err != nil {
		return err
	}
	service := engines
	if index%3 == 2 {
		service = plain
	}
	s := &slot{index: index, link: link, store: w.store, records: w.records, fatalHold: w.options.FatalHold, service: service}
	if w.options.Zones {
		s.zone, s.coldFor = zones[index%len(zones)], coldTime
	}
	w.slots = append(w.slots, s)
	return s.start()
}

func (w *world) addEntry(index int, host string, seeds []string) error {
	toStore, err := NewLink("127.0.0.1:0", w.store.Address())
	if err != nil {
		return err
	}
	settings := settingsOf(index, host, toStore.Address(), seeds, w.options.ChangeBound)
	if w.options.Long > 0 && index%2 == 1 {
		settings.Processors = 4
	}
	front, err := NewLink("127.0.0.1:0", settings.ListenAddress)
	if err != nil {
		return err
	}
	w.stores, w.fronts = append(w.stores, toStore), append(w.fronts, front)
	d, err := newDaemon(index, w.options.Binary, w.options.Folder, settings, w.records)
	if err != nil {
		return err
	}
	w.daemons = append(w.daemons, d)
	return nil
}

// readyBound is how long all daemons together may take to become ready: many start
// at once on few processors.
const readyBound = 60 * time.Second

func (w *world) awaitReady() error {
	give := time.Now().Add(readyBound)
	for _, d := range w.daemons {
		for !d.ready(w.probing) {
			if time.Now().After(give) {
				return fmt.Errorf("%s is not ready after %s", d.settings.Name, readyBound)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// configure writes the next version. Each brings a route and a key of its own and
// takes away those of the version before the last.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.putConfiguration()
	w.records.configured(w.version)
}

// putConfiguration writes the newest version; the lock is held.
func (w *world) putConfiguration() {
	v := w.version
	configuration := standin.ConfigurationWith(v, []string{markerPrefix(v), markerPrefix(v - 1)}, []string{markerKey(v), markerKey(v - 1)})
	if w.options.Zones {
		standin.LimitColdRate(configuration, coldRate)
	}
	w.store.Put("op/config", configuration)
}

// zones are those of the backend servers; all entries are in the first.
var zones = []string{"here", "there"}

const (
	// coldTime is for how long a server is cold that starts during the run, coldRate how many requests a second it bears
	// meanwhile.
	coldTime = 2 * time.Second
	coldRate = 8
)

// writeConfiguration writes the newest version once more.
func (w *world) writeConfiguration() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.putConfiguration()
}

func (w *world) newest() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

// strike carries out one step and returns when its fault is over.
func (w *world) strike(step Step) error {
	over := w.records.fault(step.Kind, step.Target)
	defer over()
	switch {
	case step.Kind.onEntry():
		return w.strikeEntry(step)
	case step.Kind.onWorker():
		return w.strikeWorker(step, w.slots[step.Target])
	default:
		w.strikeStore(step)
	}
	return nil
}

func (w *world) strikeEntry(step Step) error {
	d := w.daemons[step.Target]
	switch step.Kind {
	case EntryKilled:
		d.kill()
	case EntryPaused:
		d.pause(step.For)
	case EntryStopped:
		d.stop()
	case SettingsChanged:
		return d.reload()
	case FrontLink:
		harm(w.fronts[step.Target], step)
	case StoreLink:
		harm(w.stores[step.Target], step)
	}
	return nil
}

func harm(link *Link, step Step) {
	link.Harm(step.Link)
	time.Sleep(step.For)
	link.Heal()
}

// Times of the platform.
const (
	// rowLapse is how long a crashed server's row stays in the store.
	rowLapse = 1500 * time.Millisecond
	// reuseAfter is how long an address stays unused.
	reuseAfter = 2 * time.Second
)

func (w *world) strikeWorker(step Step, s *slot) error {
	switch step.Kind {
	case WorkerLink:
		harm(s.link, step)
		// What was silenced stays so for good; the fault is over with it.
		s.link.Cut()
	case WorkerMisbehaves:
		s.misbehave(true)
		time.Sleep(step.For)
		s.misbehave(false)
	default:
		if !s.busy.TryLock() {
			return nil // it is already on its way out
		}
		defer s.busy.Unlock()
		return w.replaceWorker(step, s)
	}
	return nil
}

// replaceWorker ends a server in one of three ways and starts the next one.
func (w *world) replaceWorker(step Step, s *slot) error {
	switch step.Kind {
	case WorkerCrashed:
		return s.crashFor(step.For)
	case WorkerLeaves:
		s.leave()
		time.Sleep(w.options.ChangeBound + time.Second)
		s.unlist(s.current())
		s.crash()
		return s.start()
	}
	gone := s.crash()
	time.Sleep(reuseAfter)
	w.swapService(s)
	if err := s.start(); err != nil {
		return err
	}
	// The old row names the same address until it lapses.
	time.Sleep(rowLapse)
	s.unlist(gone)
	return nil
}

// leastServers is how many servers each service keeps.
const leastServers = 2

// swapService makes the next server at a slot one of the other service, unless its
// own would be left with too few.
func (w *world) swapService(s *slot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	same := 0
	for _, other := range w.slots {
		if other.serves() == s.serves() {
			same++
		}
	}
	if same > leastServers {
		s.swapService()
	}
}

func (w *world) strikeStore(step Step) {
	switch step.Kind {
	case StoreRefuses:
		w.store.FailWith(http.StatusServiceUnavailable)
		time.Sleep(step.For)
		w.store.FailWith(0)
	case StoreForgets:
		w.store.Compact()
	case ConfigChanges:
		w.configure()
	case RowsLapse:
		w.lapse(step.For)
	case StoreRestored:
		w.restore(step.For)
	case ZoneEvacuated:
		w.evacuate(step.For)
	}
}

// evacuate keeps new work from the second zone for a while.
func (w *world) evacuate(length time.Duration) {
	w.writeEvacuation(true)
	over := w.records.evacuated()
	time.Sleep(length)
	over()
	w.writeEvacuation(false)
}

// writeEvacuation writes whether the second zone is evacuated.
func (w *world) writeEvacuation(evacuated bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evacuating = evacuated
	w.store.Evacuate(zones[1], evacuated)
}

// writeEvacuationAgain writes what the operators have said last.
func (w *world) writeEvacuationAgain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.Evacuate(zones[1], w.evacuating)
}

// restore brings the store back from a copy of some age. The operator and the servers write again what they
// had written since, and rows that nobody keeps alive go again.
func (w *world) restore(age time.Duration) {
	older := w.store.Backup()
	time.Sleep(age)
	w.store.FailWith(http.StatusServiceUnavailable)
	time.Sleep(storeAway)
	w.store.Restore(older, nil)
	w.store.FailWith(0)
	time.Sleep(rowsBack)
	w.writeConfiguration()
	if w.options.Zones {
		w.writeEvacuationAgain()
	}
	for _, s := range w.slots {
		s.writeAgain()
	}
	for _, id := range w.records.endedServers() {
		w.store.Remove(standin.RowKey(id))
	}
}

// storeAway is how long the store is away before it comes back from a copy.
const storeAway = 300 * time.Millisecond

// lapse takes the store away, loses the rows of all servers meanwhile, and brings
// those of the living back within two seconds of its return.
func (w *world) lapse(length time.Duration) {
	w.store.FailWith(http.StatusServiceUnavailable)
	for _, s := range w.slots {
		key, _ := s.current().Row("")
		w.store.Remove(key)
	}
	time.Sleep(length)
	w.store.FailWith(0)
	time.Sleep(rowsBack)
	for _, s := range w.slots {
		s.relist()
	}
}

// rowsBack is when the rows are back after the store is; two seconds at the most.
const rowsBack = 700 * time.Millisecond

// call lets the callers of all entries run until the context is over.
func (w *world) call(ctx context.Context, callers *sync.WaitGroup) {
	for i := range w.options.Fatal {
		callers.Go(func() { w.callFatal(ctx, i+1) })
	}
	for entry := range w.daemons {
		for i := range callersOfEntry {
			c := newCaller(fmt.Sprintf("c%d-%d", entry, i), entry, w.fronts[entry].Address(), w.options.Seed+uint64(entry*100+i), w.records, w.newest)
			callers.Go(func() { c.run(ctx) })
		}
		for i := range w.options.Long {
			c := w.newLongCaller(entry, i)
			callers.Go(func() { c.callLong(ctx) })
		}
		// The probes go past the link: they show what the entry has in force.
		p := newCaller(fmt.Sprintf("p%d", entry), entry, w.daemons[entry].settings.ListenAddress, w.options.Seed, w.records, w.newest)
		callers.Go(func() { p.probe(ctx) })
	}
}

// close ends everything that this run has started.
func (w *world) close() {
	var ends sync.WaitGroup
	for _, d := range w.daemons {
		ends.Go(d.close)
	}
	ends.Wait()
	for _, s := range w.slots {
		s.close()
	}
	for _, links := range [][]*Link{w.fronts, w.stores} {
		for _, l := range links {
			// Nothing uses the link any more.
			_ = l.Close()
		}
	}
	w.store.FailWith(http.StatusServiceUnavailable)
	w.store.CloseClientConnections()
	w.store.Close()
	w.probing.CloseIdleConnections()
}

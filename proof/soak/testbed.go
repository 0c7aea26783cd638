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
type testbed struct {
	options         Options
	records         *Records
	store           *standin.Store
	daemons         []*daemon
	callerLinks     []*Link // from callers, by entry
	storeLinks      []*Link // to the store, by entry
	slots           []*slot
	readinessClient *http.Client

	mu            sync.Mutex
	configVersion int
	// evacuating says that the second zone is to get nothing new.
	evacuating bool
}

// callersOfEntry is how many callers each entry has, beside the one that probes.
const callersPerEntry = 3

// seedEntries is how many entries the settings name to each other.
const seedEntryCount = 3

// lastingKey is never taken away.
const permanentKey = "key-1"

func versionPrefix(version int) string { return fmt.Sprintf("/m%d/", version) }
func versionKey(version int) string    { return fmt.Sprintf("marker-key-%d", version) }

func newTestbed(o Options) (*testbed, error) {
	if o.MaxPropagationDelay == 0 {
		o.MaxPropagationDelay = DefaultMaxPropagationDelay
	}
	w := &testbed{options: o, records: newRecords(), store: standin.NewStore(), readinessClient: &http.Client{Timeout: time.Second}}
	w.records.MaxPropagationDelay = o.MaxPropagationDelay
	for range 3 {
		w.changeConfiguration()
	}
	for i := range o.Servers {
		if err := w.addSlot(i); err != nil {
			return w, err
		}
	}
	var addresses, seeds []string
	for i := range o.Entries {
		addresses = append(addresses, newLoopbackHost())
		if i < seedEntryCount {
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
func (w *testbed) addSlot(index int) error {
	link, err := NewLink(fmt.Sprintf("%s:%d", newLoopbackHost(), portServer), "")
	if err != nil {
		return err
	}
	service := engines
	if index%3 == 2 {
		service = plain
	}
	s := &slot{index: index, link: link, store: w.store, records: w.records, maxCrashDelay: w.options.MaxCrashDelay, service: service}
	if w.options.MultiZone {
		s.zone, s.coldDuration = zoneNames[index%len(zoneNames)], coldDuration
	}
	w.slots = append(w.slots, s)
	return s.start()
}

func (w *testbed) addEntry(index int, host string, seeds []string) error {
	toStore, err := NewLink("127.0.0.1:0", w.store.Address())
	if err != nil {
		return err
	}
	settings := entrySettings(index, host, toStore.Address(), seeds, w.options.MaxPropagationDelay)
	if w.options.LongStreamCallers > 0 && index%2 == 1 {
		settings.Processors = 4
	}
	front, err := NewLink("127.0.0.1:0", settings.ListenAddress)
	if err != nil {
		return err
	}
	w.storeLinks, w.callerLinks = append(w.storeLinks, toStore), append(w.callerLinks, front)
	d, err := newDaemon(index, w.options.Binary, w.options.Folder, settings, w.records)
	if err != nil {
		return err
	}
	w.daemons = append(w.daemons, d)
	return nil
}

// readyBound is how long all daemons together may take to become ready: many start
// at once on few processors.
const maxStartTime = 60 * time.Second

func (w *testbed) awaitReady() error {
	deadline := time.Now().Add(maxStartTime)
	for _, d := range w.daemons {
		for !d.isReady(w.readinessClient) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %s", d.settings.Name, maxStartTime)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// configure writes the next version. Each brings a route and a key of its own and
// takes away those of the version before the last.
func (w *testbed) changeConfiguration() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.configVersion++
	w.putConfiguration()
	w.records.recordConfig(w.configVersion)
}

// putConfiguration writes the newest version; the lock is held.
func (w *testbed) putConfiguration() {
	v := w.configVersion
	configuration := standin.ConfigurationWith(v, []string{versionPrefix(v), versionPrefix(v - 1)}, []string{versionKey(v), versionKey(v - 1)})
	if w.options.MultiZone {
		standin.BoundCold(configuration, maxColdRate)
	}
	w.store.Put("op/config", configuration)
}

// zones are those of the backend servers; all entries are in the first.
var zoneNames = []string{"here", "there"}

const (
	// coldTime is for how long a server is cold that starts during the run, coldRate how many requests a second it bears
	// meanwhile.
	coldDuration = 2 * time.Second
	maxColdRate  = 8
)

// writeConfiguration writes the newest version once more.
func (w *testbed) rewriteConfiguration() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.putConfiguration()
}

func (w *testbed) newestVersion() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.configVersion
}

// strike carries out one step and returns when its fault is over.
func (w *testbed) inject(fault ScheduledFault) error {
	endFault := w.records.recordFault(fault.Kind, fault.Target)
	defer endFault()
	switch {
	case fault.Kind.onEntry():
		return w.injectEntryFault(fault)
	case fault.Kind.onServer():
		return w.injectServerFault(fault, w.slots[fault.Target])
	default:
		w.injectStoreFault(fault)
	}
	return nil
}

func (w *testbed) injectEntryFault(fault ScheduledFault) error {
	d := w.daemons[fault.Target]
	switch fault.Kind {
	case EntryKilled:
		d.kill()
	case EntryPaused:
		d.pause(fault.Duration)
	case EntryStopped:
		d.stop()
	case SettingsChanged:
		return d.reload()
	case CallerLink:
		injectLinkFault(w.callerLinks[fault.Target], fault)
	case StoreLink:
		injectLinkFault(w.storeLinks[fault.Target], fault)
	}
	return nil
}

func injectLinkFault(link *Link, fault ScheduledFault) {
	link.Inject(fault.LinkFault)
	time.Sleep(fault.Duration)
	link.Clear()
}

// Times of the platform.
const (
	// rowLapse is how long a crashed server's row stays in the store.
	rowTTL = 1500 * time.Millisecond
	// reuseAfter is how long an address stays unused.
	addressReuseDelay = 2 * time.Second
)

func (w *testbed) injectServerFault(fault ScheduledFault, s *slot) error {
	switch fault.Kind {
	case ServerLink:
		injectLinkFault(s.link, fault)
		// What was silenced stays so for good; the fault is over with it.
		s.link.ResetConnections()
	case ServerMisbehaves:
		s.setMisbehaving(true)
		time.Sleep(fault.Duration)
		s.setMisbehaving(false)
	default:
		if !s.replacing.TryLock() {
			return nil // it is already on its way out
		}
		defer s.replacing.Unlock()
		return w.replaceServer(fault, s)
	}
	return nil
}

// replaceWorker ends a server in one of three ways and starts the next one.
func (w *testbed) replaceServer(fault ScheduledFault, s *slot) error {
	switch fault.Kind {
	case ServerCrashed:
		return s.crashFor(fault.Duration)
	case ServerDrains:
		s.drain()
		time.Sleep(w.options.MaxPropagationDelay + time.Second)
		s.removeRow(s.current())
		s.crash()
		return s.start()
	}
	crashed := s.crash()
	time.Sleep(addressReuseDelay)
	w.switchService(s)
	if err := s.start(); err != nil {
		return err
	}
	// The old row names the same address until it lapses.
	time.Sleep(rowTTL)
	s.removeRow(crashed)
	return nil
}

// leastServers is how many servers each service keeps.
const minServersPerService = 2

// swapService makes the next server at a slot one of the other service, unless its
// own would be left with too few.
func (w *testbed) switchService(s *slot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	same := 0
	for _, other := range w.slots {
		if other.currentService() == s.currentService() {
			same++
		}
	}
	if same > minServersPerService {
		s.switchService()
	}
}

func (w *testbed) injectStoreFault(fault ScheduledFault) {
	switch fault.Kind {
	case StoreRefuses:
		w.store.Refuse(http.StatusServiceUnavailable)
		time.Sleep(fault.Duration)
		w.store.Refuse(0)
	case StoreHistoryLost:
		w.store.Forget()
	case ConfigChanges:
		w.changeConfiguration()
	case RowsExpire:
		w.expireRows(fault.Duration)
	case StoreRestored:
		w.restore(fault.Duration)
	case ZoneEvacuated:
		w.evacuate(fault.Duration)
	}
}

// evacuate keeps new work from the second zone for a while.
func (w *testbed) evacuate(length time.Duration) {
	w.writeEvacuation(true)
	endEvacuation := w.records.recordEvacuation()
	time.Sleep(length)
	endEvacuation()
	w.writeEvacuation(false)
}

// writeEvacuation writes whether the second zone is evacuated.
func (w *testbed) writeEvacuation(evacuated bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evacuating = evacuated
	w.store.Evacuate(zoneNames[1], evacuated)
}

// writeEvacuationAgain writes what the operators have said last.
func (w *testbed) rewriteEvacuation() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.Evacuate(zoneNames[1], w.evacuating)
}

// restore brings the store back from a copy of some age. The operator and the servers write again what they
// had written since, and rows that nobody keeps alive go again.
func (w *testbed) restore(age time.Duration) {
	older := w.store.Copy()
	time.Sleep(age)
	w.store.Refuse(http.StatusServiceUnavailable)
	time.Sleep(storeRestoreDowntime)
	w.store.Restore(older, nil)
	w.store.Refuse(0)
	time.Sleep(rowsRestoreDelay)
	w.rewriteConfiguration()
	if w.options.MultiZone {
		w.rewriteEvacuation()
	}
	for _, s := range w.slots {
		s.rewriteRow()
	}
	for _, id := range w.records.stoppedServers() {
		w.store.Remove(standin.RowKey(id))
	}
}

// storeAway is how long the store is away before it comes back from a copy.
const storeRestoreDowntime = 300 * time.Millisecond

// lapse takes the store away, loses the rows of all servers meanwhile, and brings
// those of the living back within two seconds of its return.
func (w *testbed) expireRows(length time.Duration) {
	w.store.Refuse(http.StatusServiceUnavailable)
	for _, s := range w.slots {
		key, _ := s.current().Row("")
		w.store.Remove(key)
	}
	time.Sleep(length)
	w.store.Refuse(0)
	time.Sleep(rowsRestoreDelay)
	for _, s := range w.slots {
		s.restoreRow()
	}
}

// rowsBack is when the rows are back after the store is; two seconds at the most.
const rowsRestoreDelay = 700 * time.Millisecond

// call lets the callers of all entries run until the context is over.
func (w *testbed) startCallers(ctx context.Context, callers *sync.WaitGroup) {
	for i := range w.options.PoisonRequests {
		callers.Go(func() { w.sendPoison(ctx, i+1) })
	}
	for entry := range w.daemons {
		for i := range callersPerEntry {
			c := newCaller(fmt.Sprintf("c%d-%d", entry, i), entry, w.callerLinks[entry].Address(), w.options.Seed+uint64(entry*100+i), w.records, w.newestVersion)
			callers.Go(func() { c.run(ctx) })
		}
		for i := range w.options.LongStreamCallers {
			c := w.newLongCaller(entry, i)
			callers.Go(func() { c.runLongStreams(ctx) })
		}
		// The probes go past the link: they show what the entry has in force.
		p := newCaller(fmt.Sprintf("p%d", entry), entry, w.daemons[entry].settings.ListenAddress, w.options.Seed, w.records, w.newestVersion)
		callers.Go(func() { p.probe(ctx) })
	}
}

// close ends everything that this run has started.
func (w *testbed) close() {
	var stops sync.WaitGroup
	for _, d := range w.daemons {
		stops.Go(d.close)
	}
	stops.Wait()
	for _, s := range w.slots {
		s.close()
	}
	for _, links := range [][]*Link{w.callerLinks, w.storeLinks} {
		for _, l := range links {
			// Nothing uses the link any more.
			_ = l.Close()
		}
	}
	w.store.Refuse(http.StatusServiceUnavailable)
	w.store.CloseClientConnections()
	w.store.Close()
	w.readinessClient.CloseIdleConnections()
}

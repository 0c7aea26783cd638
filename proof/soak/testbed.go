package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"arbutusdeck/platform/standin"
)

// testbed holds everything that runs: the daemons, the stand-ins for the store and the
// backend servers, and the links between them.
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
	// evacuating tells that the second zone is evacuated.
	evacuating bool
}

// callersPerEntry is the number of callers of each entry, in addition to its probe.
const callersPerEntry = 3

// seedEntryCount is the number of entries that the settings list as seeds.
const seedEntryCount = 3

// permanentKey is never revoked.
const permanentKey = "key-1"

func versionPrefix(version int) string { return fmt.Sprintf("/m%d/", version) }
func versionKey(version int) string    { return fmt.Sprintf("marker-key-%d", version) }

func newTestbed(o Options) (*testbed, error) {
	if o.MaxPropagationDelay == 0 {
		o.MaxPropagationDelay = DefaultMaxPropagationDelay
	}
	tb := &testbed{options: o, records: newRecords(), store: standin.NewStore(), readinessClient: &http.Client{Timeout: time.Second}}
	tb.records.MaxPropagationDelay = o.MaxPropagationDelay
	for range 3 {
		tb.changeConfiguration()
	}
	for i := range o.Servers {
		if err := tb.addSlot(i); err != nil {
			return tb, err
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
		if err := tb.addEntry(i, host, seeds); err != nil {
			return tb, err
		}
	}
	return tb, tb.awaitReady()
}

// addSlot adds and starts a backend server; every third one serves the plain service.
func (tb *testbed) addSlot(index int) error {
	link, err := NewLink(fmt.Sprintf("%s:%d", newLoopbackHost(), portServer), "")
	if err != nil {
		return err
	}
	service := engines
	if index%3 == 2 {
		service = plain
	}
	s := &slot{index: index, link: link, store: tb.store, records: tb.records, maxCrashDelay: tb.options.MaxCrashDelay, service: service}
	if tb.options.MultiZone {
		s.zone, s.coldDuration = zoneNames[index%len(zoneNames)], coldDuration
	}
	tb.slots = append(tb.slots, s)
	return s.start()
}

func (tb *testbed) addEntry(index int, host string, seeds []string) error {
	toStore, err := NewLink("127.0.0.1:0", tb.store.Address())
	if err != nil {
		return err
	}
	settings := entrySettings(index, host, toStore.Address(), seeds, tb.options.MaxPropagationDelay)
	if tb.options.LongStreamCallers > 0 && index%2 == 1 {
		settings.Processors = 4
	}
	front, err := NewLink("127.0.0.1:0", settings.ListenAddress)
	if err != nil {
		return err
	}
	tb.storeLinks, tb.callerLinks = append(tb.storeLinks, toStore), append(tb.callerLinks, front)
	d, err := newDaemon(index, tb.options.Binary, tb.options.Folder, settings, tb.records)
	if err != nil {
		return err
	}
	tb.daemons = append(tb.daemons, d)
	return nil
}

// maxStartTime bounds how long all daemons together may take to become ready: many start at
// once on few processors.
const maxStartTime = 60 * time.Second

func (tb *testbed) awaitReady() error {
	deadline := time.Now().Add(maxStartTime)
	for _, d := range tb.daemons {
		for !d.isReady(tb.readinessClient) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %s", d.settings.Name, maxStartTime)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// changeConfiguration writes the next version. Each version adds a route and a key of its
// own, and removes those of the version before the previous one.
func (tb *testbed) changeConfiguration() {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.configVersion++
	tb.putConfiguration()
	tb.records.recordConfig(tb.configVersion)
}

// putConfiguration writes the newest version. The caller holds the lock.
func (tb *testbed) putConfiguration() {
	v := tb.configVersion
	configuration := standin.ConfigurationWith(v, []string{versionPrefix(v), versionPrefix(v - 1)}, []string{versionKey(v), versionKey(v - 1)})
	if tb.options.MultiZone {
		standin.LimitColdRate(configuration, maxColdRate)
	}
	tb.store.Put("op/config", configuration)
}

// zoneNames are the zones of the backend servers; all entries are in the first.
var zoneNames = []string{"here", "there"}

const (
	// A server that starts during the run is cold for coldDuration. Meanwhile it may get
	// maxColdRate requests per second.
	coldDuration = 2 * time.Second
	maxColdRate  = 8
)

// rewriteConfiguration writes the newest version again.
func (tb *testbed) rewriteConfiguration() {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.putConfiguration()
}

func (tb *testbed) newestVersion() int {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.configVersion
}

// inject injects one fault and returns when it is over.
func (tb *testbed) inject(fault ScheduledFault) error {
	endFault := tb.records.recordFault(fault.Kind, fault.Target)
	defer endFault()
	switch {
	case fault.Kind.onEntry():
		return tb.injectEntryFault(fault)
	case fault.Kind.onServer():
		return tb.injectServerFault(fault, tb.slots[fault.Target])
	default:
		tb.injectStoreFault(fault)
	}
	return nil
}

func (tb *testbed) injectEntryFault(fault ScheduledFault) error {
	d := tb.daemons[fault.Target]
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
		injectLinkFault(tb.callerLinks[fault.Target], fault)
	case StoreLink:
		injectLinkFault(tb.storeLinks[fault.Target], fault)
	}
	return nil
}

// injectLinkFault injects a fault into a link for the duration of the fault.
func injectLinkFault(link *Link, fault ScheduledFault) {
	link.Inject(fault.LinkFault)
	time.Sleep(fault.Duration)
	link.Clear()
}

// Delays of the platform.
const (
	// rowTTL is how long the row of a crashed server stays in the store.
	rowTTL = 1500 * time.Millisecond
	// addressReuseDelay is how long an address stays unused before another server gets it.
	addressReuseDelay = 2 * time.Second
)

func (tb *testbed) injectServerFault(fault ScheduledFault, s *slot) error {
	switch fault.Kind {
	case ServerLink:
		injectLinkFault(s.link, fault)
		// Connections whose traffic was dropped don't recover; resetting them ends the fault.
		s.link.ResetConnections()
	case ServerMisbehaves:
		s.setMisbehaving(true)
		time.Sleep(fault.Duration)
		s.setMisbehaving(false)
	default:
		if !s.replacing.TryLock() {
			return nil // it is already being replaced
		}
		defer s.replacing.Unlock()
		return tb.replaceServer(fault, s)
	}
	return nil
}

// replaceServer starts the next server of a slot after the current one has crashed, has been
// drained, or has crashed and left its address to the next one. The caller holds replacing.
func (tb *testbed) replaceServer(fault ScheduledFault, s *slot) error {
	switch fault.Kind {
	case ServerCrashed:
		return s.crashFor(fault.Duration)
	case ServerDrains:
		s.drain()
		time.Sleep(tb.options.MaxPropagationDelay + time.Second)
		s.removeRow(s.current())
		s.crash()
		return s.start()
	}
	crashed := s.crash()
	time.Sleep(addressReuseDelay)
	tb.switchService(s)
	if err := s.start(); err != nil {
		return err
	}
	// The old row has the same address until it expires.
	time.Sleep(rowTTL)
	s.removeRow(crashed)
	return nil
}

// minServersPerService is the number of servers that each service keeps.
const minServersPerService = 2

// switchService assigns the next server of a slot to the other service, unless its own
// would be left with fewer than minServersPerService.
func (tb *testbed) switchService(s *slot) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	same := 0
	for _, other := range tb.slots {
		if other.currentService() == s.currentService() {
			same++
		}
	}
	if same > minServersPerService {
		s.switchService()
	}
}

func (tb *testbed) injectStoreFault(fault ScheduledFault) {
	switch fault.Kind {
	case StoreRefuses:
		tb.store.FailWith(http.StatusServiceUnavailable)
		time.Sleep(fault.Duration)
		tb.store.FailWith(0)
	case StoreHistoryLost:
		tb.store.Compact()
	case ConfigChanges:
		tb.changeConfiguration()
	case RowsExpire:
		tb.expireRows(fault.Duration)
	case StoreRestored:
		tb.restore(fault.Duration)
	case ZoneEvacuated:
		tb.evacuate(fault.Duration)
	}
}

// evacuate evacuates the second zone for the given time.
func (tb *testbed) evacuate(length time.Duration) {
	tb.writeEvacuation(true)
	endEvacuation := tb.records.recordEvacuation()
	time.Sleep(length)
	endEvacuation()
	tb.writeEvacuation(false)
}

func (tb *testbed) writeEvacuation(evacuated bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.evacuating = evacuated
	tb.store.Evacuate(zoneNames[1], evacuated)
}

// rewriteEvacuation writes the last evacuation state of the second zone again.
func (tb *testbed) rewriteEvacuation() {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.store.Evacuate(zoneNames[1], tb.evacuating)
}

// restore takes a copy of the store, and restores the store from it after its age has passed.
// The operators and the servers then write their latest state again, and the rows of stopped
// servers are removed again.
func (tb *testbed) restore(age time.Duration) {
	older := tb.store.Backup()
	time.Sleep(age)
	tb.store.FailWith(http.StatusServiceUnavailable)
	time.Sleep(storeRestoreDowntime)
	tb.store.Restore(older, nil)
	tb.store.FailWith(0)
	time.Sleep(rowsRestoreDelay)
	tb.rewriteConfiguration()
	if tb.options.MultiZone {
		tb.rewriteEvacuation()
	}
	for _, s := range tb.slots {
		s.rewriteRow()
	}
	for _, id := range tb.records.stoppedServers() {
		tb.store.Remove(standin.RowKey(id))
	}
}

// storeRestoreDowntime is how long the store is unavailable before it is restored.
const storeRestoreDowntime = 300 * time.Millisecond

// expireRows makes the store unavailable, removes the rows of all servers meanwhile, and
// writes those of running servers again after rowsRestoreDelay.
func (tb *testbed) expireRows(length time.Duration) {
	tb.store.FailWith(http.StatusServiceUnavailable)
	for _, s := range tb.slots {
		key, _ := s.current().Row("")
		tb.store.Remove(key)
	}
	time.Sleep(length)
	tb.store.FailWith(0)
	time.Sleep(rowsRestoreDelay)
	for _, s := range tb.slots {
		s.restoreRow()
	}
}

// rowsRestoreDelay is the delay from the return of the store to that of the rows; at most two
// seconds are allowed.
const rowsRestoreDelay = 700 * time.Millisecond

// startCallers starts the callers of all entries, which run until the context ends.
func (tb *testbed) startCallers(ctx context.Context, callers *sync.WaitGroup) {
	for i := range tb.options.PoisonRequests {
		callers.Go(func() { tb.sendPoison(ctx, i+1, i) })
	}
	for i := range tb.options.PoisonParts {
		callers.Go(func() { tb.sendPoison(ctx, poisonPartNumber(i), i) })
	}
	for entry := range tb.daemons {
		for i := range callersPerEntry {
			c := newCaller(fmt.Sprintf("c%d-%d", entry, i), entry, tb.callerLinks[entry].Address(), tb.options.Seed+uint64(entry*100+i), tb.records, tb.newestVersion)
			callers.Go(func() { c.run(ctx) })
		}
		for i := range tb.options.LongStreamCallers {
			c := tb.newLongCaller(entry, i)
			callers.Go(func() { c.runLongStreams(ctx) })
		}
		// Probes bypass the link: they show the current configuration of the entry.
		p := newCaller(fmt.Sprintf("p%d", entry), entry, tb.daemons[entry].settings.ListenAddress, tb.options.Seed, tb.records, tb.newestVersion)
		callers.Go(func() { p.probe(ctx) })
	}
}

// close stops everything that the run has started.
func (tb *testbed) close() {
	var stops sync.WaitGroup
	for _, d := range tb.daemons {
		stops.Go(d.close)
	}
	stops.Wait()
	for _, s := range tb.slots {
		s.close()
	}
	for _, links := range [][]*Link{tb.callerLinks, tb.storeLinks} {
		for _, l := range links {
			// Nothing uses the link any more.
			_ = l.Close()
		}
	}
	tb.store.FailWith(http.StatusServiceUnavailable)
	tb.store.CloseClientConnections()
	tb.store.Close()
	tb.readinessClient.CloseIdleConnections()
}

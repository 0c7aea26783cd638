package fairshare

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Options configures a Ledger. Fields that are 0 have the value of DefaultOptions.
type Options struct {
	// HalfLife is the time in which recorded usage is halved. It should be longer than requests hold a slot, so that
	// single requests don't show, and as short as a new entry may take to know the zone's usage.
	HalfLife time.Duration
	// AskTime is the time after its last request or charge for which a workspace counts as one that asks.
	AskTime time.Duration
	// Floor is the least Normalized usage: a workspace that asks for less than its share saves up no more. With 0.9 and
	// a half-life of 5 s it goes first for 1.1 s of the whole capacity at most beside one other workspace (0.8: 2.0 s).
	// Much above 0.9 the variation of requests hides who is below its share.
	Floor float64
	// MaxWorkspaces bounds the accounts. Workspaces beyond it share the account of requests without a workspace.
	MaxWorkspaces int
	// MaxAge is the age at which the usage reported by another zone expires.
	MaxAge time.Duration
}

// DefaultOptions returns the options used where none are given. MaxAge is the age from which a zone's summary counts
// as not heard.
func DefaultOptions() Options {
	return Options{HalfLife: 5 * time.Second, AskTime: 5 * time.Second, Floor: 0.9, MaxWorkspaces: 1024, MaxAge: 1500 * time.Millisecond}
}

const (
	// step is the interval at which usage decays; it is far below any half-life, and a pass over all accounts takes
	// microseconds.
	step = 10 * time.Millisecond
	// forgetHalfLives is the number of half-lives after which an unused account is removed; 0.4 % of its usage is left.
	forgetHalfLives = 8
	// maxZones bounds the zones, and maxZoneUses the workspaces of one, whose usage is merged. Both are above what a
	// summary holds and bound what a faulty peer can fill.
	maxZones, maxZoneUses = 64, 64
)

// account is what the ledger knows of one workspace.
type account struct {
	workspace uint32
	// used is the decayed usage in this zone.
	used resources
	// charged is the decayed usage in this zone in seconds of the zone's whole capacity, at the prices at the time of
	// use, with what was added for the times at which the workspace didn't ask.
	charged float64
	active  time.Time // of the last request or charge
}

// zoneUse is the usage that another zone has reported.
type zoneUse struct {
	at   time.Time
	uses []Use
}

// Ledger accounts for the usage of workspaces in a zone from the dispatches that an entry hears of. Each entry has its
// own; nothing is shared but the dispatches. It is not safe for concurrent use.
type Ledger struct {
	options  Options
	weights  map[uint32]float64
	accounts map[uint32]*account
	// order holds the accounts in a fixed order, since sums of floating-point numbers depend on it.
	order []*account
	zones map[string]zoneUse
	// elsewhere is the decayed usage in other zones, in seconds of this zone's capacity.
	elsewhere map[uint32]float64
	capacity  resources
	price     resources
	at        time.Time
	// used is the decayed usage of all accounts; charged is the usage in seconds of capacity, and weight the sum of the
	// weights, of the workspaces that ask now.
	used            resources
	charged, weight float64
	// level is charged by weight: the even share.
	level float64
	// stale is set if the sums have to be computed anew, which takes a pass over all accounts.
	stale bool
}

// NewLedger returns an empty ledger.
func NewLedger(options Options) *Ledger {
	defaults := DefaultOptions()
	options.HalfLife = cmp.Or(options.HalfLife, defaults.HalfLife)
	options.AskTime = cmp.Or(options.AskTime, defaults.AskTime)
	options.Floor = cmp.Or(options.Floor, defaults.Floor)
	options.MaxWorkspaces = cmp.Or(options.MaxWorkspaces, defaults.MaxWorkspaces)
	options.MaxAge = cmp.Or(options.MaxAge, defaults.MaxAge)
	l := &Ledger{options: options, weights: map[uint32]float64{}, accounts: map[uint32]*account{}, zones: map[string]zoneUse{}, elsewhere: map[uint32]float64{}}
	l.SetCapacity(Capacity{})
	return l
}

// SetCapacity sets the zone's capacity, which makes the resources comparable.
func (l *Ledger) SetCapacity(c Capacity) {
	l.capacity = c.resources()
	l.stale = true
}

// SetWeights replaces the weights by name; a workspace without a valid one has weight 1. A change makes neither debt
// nor credit: a workspace keeps its Normalized usage and is charged by its new weight from then on.
func (l *Ledger) SetWeights(weights map[string]float64) {
	next := make(map[uint32]float64, len(weights))
	for workspace, weight := range weights {
		if positive(weight) > 0 {
			next[Hash(workspace)] = max(weight, minWeight)
		}
	}
	previous := l.weights
	l.weights = next
	for _, a := range l.order {
		elsewhere := l.elsewhere[a.workspace]
		a.charged = max((a.charged+elsewhere)*l.weightOf(a.workspace)/cmp.Or(previous[a.workspace], 1)-elsewhere, 0)
	}
	l.stale = true
}

func (l *Ledger) weightOf(workspace uint32) float64 { return cmp.Or(l.weights[workspace], 1) }

// Ask records that a workspace has a request here, whether it is served or not.
func (l *Ledger) Ask(now time.Time, workspace string) {
	l.advance(now)
	l.open(now, Hash(workspace))
}

// Charge records what a request of a workspace has used in this zone, whichever entry has sent it.
func (l *Ledger) Charge(now time.Time, workspace string, c Cost) {
	l.ChargeHash(now, Hash(workspace), c)
}

// ChargeHash is Charge for a workspace named by its hash, as in the dispatches of peers.
func (l *Ledger) ChargeHash(now time.Time, workspace uint32, c Cost) {
	amounts := c.resources()
	if amounts == (resources{}) {
		return
	}
	l.advance(now)
	a := l.open(now, workspace)
	a.used.add(amounts)
	l.used.add(amounts)
	l.raise(a, l.capacityTime(amounts))
}

// raise adds to what a workspace that asks now is charged, and to the sum.
func (l *Ledger) raise(a *account, charged float64) {
	a.charged += charged
	l.charged += charged
	l.derive()
}

// capacityTime converts amounts into seconds of the zone's whole capacity, by what is scarce.
func (l *Ledger) capacityTime(amounts resources) float64 {
	sum := 0.0
	for i := range amounts {
		if l.capacity[i] > 0 {
			sum += amounts[i] / l.capacity[i] * l.price[i]
		}
	}
	return sum
}

// open returns the account of a workspace that asks now. One that is new or was idle starts at the even share,
// without credit or debt; one that asks for little is at most 1-Floor below it.
func (l *Ledger) open(now time.Time, workspace uint32) *account {
	workspace, a := l.find(now, workspace)
	l.refresh(now)
	even := l.level * l.weightOf(workspace)
	asked := l.asks(now, a)
	a.active = now
	if !asked {
		a.charged = max(even-l.elsewhere[workspace], 0)
		l.stale = true
		l.refresh(now)
	} else if least := l.options.Floor*even - l.elsewhere[workspace]; a.charged < least {
		l.raise(a, least-a.charged)
	}
	return a
}

// known returns the account that a workspace has and its key, or nil. A workspace that found the ledger full has the
// account of key 0.
func (l *Ledger) known(workspace uint32) (uint32, *account) {
	if a := l.accounts[workspace]; a != nil || len(l.accounts) < l.options.MaxWorkspaces {
		return workspace, a
	}
	return 0, l.accounts[0]
}

// find returns the account of a workspace and its key. It opens one if there is none, unless the ledger is full of
// workspaces that ask.
func (l *Ledger) find(now time.Time, workspace uint32) (uint32, *account) {
	if a := l.accounts[workspace]; a != nil {
		return workspace, a
	}
	if len(l.accounts) >= l.options.MaxWorkspaces && !l.evict(now) {
		workspace = 0
		if a := l.accounts[0]; a != nil {
			return 0, a
		}
	}
	a := &account{workspace: workspace}
	l.accounts[workspace] = a
	l.order = append(l.order, a)
	return workspace, a
}

// evict removes the account that has been idle for the longest time. It reports false if all workspaces ask.
func (l *Ledger) evict(now time.Time) bool {
	var oldest *account
	for _, a := range l.order {
		if !l.asks(now, a) && (oldest == nil || a.active.Before(oldest.active)) {
			oldest = a
		}
	}
	if oldest == nil {
		return false
	}
	l.remove(func(a *account) bool { return a == oldest })
	l.stale = true
	return true
}

// remove removes the accounts that satisfy a condition.
func (l *Ledger) remove(condition func(a *account) bool) {
	l.order = slices.DeleteFunc(l.order, func(a *account) bool {
		if condition(a) {
			delete(l.accounts, a.workspace)
			return true
		}
		return false
	})
}

// asks reports whether a workspace has had a request or a charge lately.
func (l *Ledger) asks(now time.Time, a *account) bool {
	return a != nil && now.Sub(a.active) <= l.options.AskTime
}

// advance decays the usage up to now.
func (l *Ledger) advance(now time.Time) {
	elapsed := now.Sub(l.at)
	if elapsed < step {
		return
	}
	l.at, l.stale = now, true
	factor := math.Exp2(-elapsed.Seconds() / l.options.HalfLife.Seconds())
	for _, a := range l.order {
		a.used.scale(factor)
		a.charged *= factor
	}
	l.remove(func(a *account) bool {
		return now.Sub(a.active) > max(forgetHalfLives*l.options.HalfLife, l.options.AskTime)
	})
	for workspace := range l.elsewhere {
		l.elsewhere[workspace] *= factor
	}
	for zone, z := range l.zones {
		if now.Sub(z.at) > l.options.MaxAge {
			delete(l.zones, zone)
			l.sumZones()
		}
	}
}

// refresh computes the sums after changes of more than one account.
func (l *Ledger) refresh(now time.Time) {
	if !l.stale {
		return
	}
	l.stale = false
	l.used, l.charged, l.weight = resources{}, 0, 0
	for _, a := range l.order {
		l.used.add(a.used)
		if l.asks(now, a) {
			l.charged += a.charged + l.elsewhere[a.workspace]
			l.weight += l.weightOf(a.workspace)
		}
	}
	l.derive()
}

// derive computes the prices and the even share from the sums.
func (l *Ledger) derive() {
	l.price = scarcity(l.used, l.capacity)
	l.level = 0
	if l.weight > 0 {
		l.level = l.charged / l.weight
	}
}

// Normalized returns the usage of a workspace divided by its weight, relative to the even share (1) of the workspaces
// that ask now. It is 1 for a workspace that doesn't ask, and while nothing is known.
func (l *Ledger) Normalized(now time.Time, workspace string) float64 {
	l.advance(now)
	l.refresh(now)
	hash, a := l.known(Hash(workspace))
	if !l.asks(now, a) || l.level <= 0 {
		return 1
	}
	return max((a.charged+l.elsewhere[hash])/l.weightOf(hash)/l.level, l.options.Floor)
}

// Share returns the part of the capacity, from 0 to 1, that a workspace is due by weight among those that ask now.
func (l *Ledger) Share(now time.Time, workspace string) float64 {
	l.advance(now)
	l.refresh(now)
	hash, a := l.known(Hash(workspace))
	total := l.weight
	if !l.asks(now, a) {
		total += l.weightOf(hash)
	}
	return l.weightOf(hash) / total
}

// Top returns the usage in this zone of the n workspaces that have used most, the largest first.
func (l *Ledger) Top(now time.Time, n int) []Use {
	l.advance(now)
	l.refresh(now)
	order := slices.SortedFunc(slices.Values(l.order), func(x, y *account) int {
		return cmp.Or(cmp.Compare(l.capacityTime(y.used), l.capacityTime(x.used)), cmp.Compare(x.workspace, y.workspace))
	})
	var uses []Use
	for _, a := range order[:max(min(n, len(order)), 0)] {
		if a.used != (resources{}) {
			uses = append(uses, Use{a.workspace, a.used.cost()})
		}
	}
	return uses
}

// Merge records the usage of another zone as it was at a time, which may be in the past, in place of what that zone
// reported for an earlier time. It counts beside the usage in this zone until it is older than MaxAge.
func (l *Ledger) Merge(asOf time.Time, zone string, uses []Use) {
	l.advance(asOf)
	known, ok := l.zones[zone]
	if ok && asOf.Before(known.at) || !ok && len(l.zones) >= maxZones {
		return
	}
	l.zones[zone] = zoneUse{asOf, slices.Clone(uses[:min(len(uses), maxZoneUses)])}
	l.refresh(l.at)
	l.sumZones()
}

// sumZones adds up the usage of the other zones, decayed since their reports.
func (l *Ledger) sumZones() {
	clear(l.elsewhere)
	for _, name := range slices.Sorted(maps.Keys(l.zones)) {
		z := l.zones[name]
		factor := math.Exp2(-l.at.Sub(z.at).Seconds() / l.options.HalfLife.Seconds())
		for _, use := range z.uses {
			l.elsewhere[use.Workspace] += l.capacityTime(use.resources()) * factor
		}
	}
	l.stale = true
}

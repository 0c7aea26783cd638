package storeread

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"gopkg.in/tomb.v2"

	"arbutusdeck/entry/boottime"
	"arbutusdeck/platform"
)

// Run keeps the configuration and the list of servers current until the tomb is dying. An entry
// that has to read the store reads both completely, and then watches for changes until the history
// from its revision is unavailable; the others get the changes from those that read.
func (r *Reader) Run(t *tomb.Tomb) error {
	r.tomb = t
	ctx := r.tomb.Context(context.Background())
	r.bootstrap(ctx)
	failures := 0
	for r.tomb.Alive() {
		if !r.UpdateReading(time.Now()) {
			if !r.sleep(readerPoll) {
				return nil
			}
			continue
		}
		err := r.watchStore(ctx)
		if !r.tomb.Alive() {
			return nil
		}
		switch {
		case err == nil:
			continue // other entries read from now on
		case errors.Is(err, platform.ErrHistoryUnavailable):
			r.options.Log.Warn("the store's history from the known revision is unavailable; reading the full state")
			r.target.ResetPosition()
			continue
		}
		if r.recordFailure(time.Now()) {
			failures = 0
			r.options.Log.WithError(err).Warn("lost the metadata store; the last known state stays in force")
		}
		r.options.Errors.Inc(1)
		failures++
		pause := min(storeRetryMin<<min(failures, 5), storeRetryMax)
		if !r.sleep(time.Duration(float64(pause) * (0.5 + rand.Float64()))) {
			return nil
		}
	}
	return nil
}

// sleep returns false if the daemon stops before d has passed.
func (r *Reader) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.tomb.Dying():
		return false
	}
}

// watchStore watches for changes until a call fails or other entries read for this one. First it
// reads the full list if this entry does not know up to which revision its own is complete, and the
// configuration in any case: peers send servers and configurations separately, so that the
// configuration here may be older than the list.
func (r *Reader) watchStore(ctx context.Context) error {
	revision, err := r.readStore(ctx)
	if err != nil {
		return err
	}
	for r.tomb.Alive() && r.UpdateReading(time.Now()) {
		options := r.Options()
		changes, err := r.options.Store.Watch(ctx, revision, options.LongPollTimeout(watchWait))
		if err != nil {
			return err
		}
		r.applyWatched(boottime.At(time.Now()), revision, changes)
		revision = changes.Revision
		r.target.ServeWhenReady()
		if !r.sleep(options.PollDelay()) {
			return nil
		}
	}
	return nil
}

// readStore reads what a watch from the known position would not report, and returns the revision from
// which a watch reports all further changes. That is not the position of the list of servers alone:
// peers may advance it past a configuration that they have not passed on.
func (r *Reader) readStore(ctx context.Context) (revision uint64, err error) {
	var servers platform.Changes
	afterOutage := r.isLost()
	full := r.target.Position() == 0 || afterOutage
	if full {
		servers, err = r.options.Store.ReadServers(ctx)
		if err != nil {
			return 0, err
		}
	}
	operators, err := r.options.Store.ReadOperatorRows(ctx)
	if err != nil {
		return 0, err
	}
	answeredAt, known := boottime.At(time.Now()), r.target.Version()
	r.target.ReplaceEvacuations(operators)
	r.target.ApplyChanges(operators, "platform")
	if full {
		r.target.ReplaceServers(servers, afterOutage)
	}
	r.recordSuccess(answeredAt)
	r.target.ServeWhenReady()
	if r.target.Starting() || r.target.Version() > known {
		// Other entries wait for the store readers before they read the store themselves, although
		// there is no configuration to serve with yet. A version that this read found has waited
		// for a change of readers already and should not wait for a heartbeat too.
		r.options.Peers.BroadcastState()
	}
	return min(r.target.Position(), operators.Revision), nil
}

// applyWatched applies the changes of a watch that was answered at answeredAt, and sends them to the
// other entries of the zone.
func (r *Reader) applyWatched(answeredAt time.Time, from uint64, changes platform.Changes) {
	r.target.ApplyChanges(changes, "platform")
	r.target.Advance(changes.Revision)
	r.recordSuccess(answeredAt)
	r.sendChanges(from, changes)
}

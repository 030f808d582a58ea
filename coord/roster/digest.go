package roster

import (
	"maps"
	"slices"
	"time"
)

// Update is one observation in the form sent to peers. It has an age instead of a time, so that the
// processes' clocks need not agree.
type Update struct {
	ID          ID          `json:"id"`
	Incarnation Incarnation `json:"inc,omitempty"`
	Kind        Kind        `json:"kind"` // Departing or Refused
	AgeMillis   int64       `json:"age"`  // time since the observation, in milliseconds
}

// maxAge is the highest age of an update; higher ones count as this one. No age overflows when it
// becomes a duration.
const maxAge = 366 * 24 * time.Hour

// age returns the time since the observation, from 0 to maxAge.
func (u Update) age() time.Duration {
	return time.Duration(min(max(u.AgeMillis, 0), maxAge.Milliseconds())) * time.Millisecond
}

// Digest is the message that two processes send each other in one exchange.
type Digest struct {
	From    ID       `json:"from"` // Options.Self of the sender
	Updates []Update `json:"signs,omitempty"`
}

// Digest returns the digest for the next peer and counts its updates as sent. It contains new updates
// first, then a few older ones in rotation; QueueOptions bounds both. Argument peers is the number of
// other processes, which determines how often a new update is sent.
func (r *Roster) Digest(peers int) Digest {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Clock.Now()
	d := Digest{From: r.opts.Self}
	for _, update := range r.queue.nextBatch(peers) {
		d.Updates = r.appendUpdate(d.Updates, update.id, update.kind, now)
	}
	if free := r.opts.Queue.MaxUpdatesPerDigest - len(d.Updates); free > 0 {
		leaving := func(id ID) bool { return !r.records[id].DepartingSince.IsZero() }
		for _, id := range r.queue.nextRefresh(min(free, r.opts.Queue.RefreshPerDigest), leaving) {
			d.Updates = r.appendUpdate(d.Updates, id, Departing, now)
		}
	}
	return d
}

// appendUpdate appends the update of the given kind about a member, unless its record has no such
// observation (any more).
func (r *Roster) appendUpdate(updates []Update, id ID, kind Kind, now time.Time) []Update {
	record := r.records[id]
	at := record.LastRefused
	if kind == Departing {
		at = record.DepartingSince
	}
	if at.IsZero() {
		return updates
	}
	age := max(now.Sub(at).Milliseconds(), 0)
	return append(updates, Update{ID: id, Incarnation: record.Incarnation, Kind: kind, AgeMillis: age})
}

// Receive merges the updates of a peer's digest. Refused updates older than Policy.SuspectFor are
// ignored. It records nothing about the peer itself.
//
// Errors: ErrInvalid if an update has a kind other than Departing and Refused; the other updates are
// merged nevertheless.
func (r *Roster) Receive(d Digest) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Clock.Now()
	var err error
	for _, s := range d.Updates {
		if s.Kind != Departing && s.Kind != Refused {
			r.opts.Observer.Observe(EventInvalidUpdate)
			err = ErrInvalid.New("update of unsupported kind %q", s.Kind)
			continue
		}
		at := now.Add(-s.age())
		if s.Kind == Departing || r.opts.Policy.recentlyRefused(at, now) {
			r.merge(Observation{ID: s.ID, Incarnation: s.Incarnation, Kind: s.Kind, At: at})
		}
	}
	return err
}

// recentlyRefused reports whether a connection refused at the given time still counts.
func (p Policy) recentlyRefused(at, now time.Time) bool {
	return now.Sub(at) <= p.SuspectFor
}

// Leaving returns the members observed to be leaving, in order of their IDs. It includes those that
// have disappeared from the platform's list (phase Gone) until their records expire.
func (r *Roster) Leaving() []ID {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var ids []ID
	for _, id := range slices.Sorted(maps.Keys(r.records)) {
		if !r.records[id].DepartingSince.IsZero() {
			ids = append(ids, id)
		}
	}
	return ids
}

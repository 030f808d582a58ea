package roster

import (
	"maps"
	"slices"
	"time"
)

// Sign is one observation as it is passed on.
type Sign struct {
	ID          ID          `json:"id"`
	Incarnation Incarnation `json:"inc,omitempty"`
	Kind        Kind        `json:"kind"`
	AgeMillis   int64       `json:"age"`
}

// Digest is what two processes tell one another.
type Digest struct {
	From  ID     `json:"from"`
	Signs []Sign `json:"signs,omitempty"`
}

// Digest returns what to tell the next peer, given the number of peers.
func (r *Roster) Digest(peers int) Digest {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Clock.Now()
	d := Digest{From: r.opts.Self}
	for _, rumour := range r.rumours.take(peers) {
		d.Signs = r.appendSign(d.Signs, rumour.id, rumour.kind, now)
	}
	if room := r.opts.Rumours.MaxSigns - len(d.Signs); room > 0 {
		leaving := func(id ID) bool { return !r.records[id].Departing.IsZero() }
		for _, id := range r.rumours.next(min(room, r.opts.Rumours.Refresh), leaving) {
			d.Signs = r.appendSign(d.Signs, id, Departing, now)
		}
	}
	return d
}

func (r *Roster) appendSign(signs []Sign, id ID, kind Kind, now time.Time) []Sign {
	record := r.records[id]
	at := record.Refused
	if kind == Departing {
		at = record.Departing
	}
	if at.IsZero() {
		return signs
	}
	age := max(now.Sub(at).Milliseconds(), 0)
	return append(signs, Sign{ID: id, Incarnation: record.Incarnation, Kind: kind, AgeMillis: age})
}

// Receive takes in a peer's digest, which also shows that the peer is alive.
// Errors: ErrInvalid for a sign of an unknown kind; the other signs are taken in.
func (r *Roster) Receive(d Digest) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Clock.Now()
	var err error
	for _, s := range d.Signs {
		if s.Kind != Departing && s.Kind != Refused {
			r.opts.Observer.Observe(EventInvalidSign)
			err = ErrInvalid.New("sign of kind %q", s.Kind)
			continue
		}
		at := now.Add(-time.Duration(max(s.AgeMillis, 0)) * time.Millisecond)
		if s.Kind == Departing || r.opts.Policy.recentlyRefused(at, now) {
			r.merge(Observation{ID: s.ID, Incarnation: s.Incarnation, Kind: s.Kind, At: at})
		}
	}
	return err
}

func (p Policy) recentlyRefused(at, now time.Time) bool {
	return now.Sub(at) <= p.SuspectFor
}

// Leaving returns the members with a sign of leaving, in order.
func (r *Roster) Leaving() []ID {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var ids []ID
	for _, id := range slices.Sorted(maps.Keys(r.records)) {
		if !r.records[id].Departing.IsZero() {
			ids = append(ids, id)
		}
	}
	return ids
}

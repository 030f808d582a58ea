package gatewayd

import (
	"errors"
	"io"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/poplarshore/poplarshore/internal/watch"
	"github.com/poplarshore/poplarshore/platform/standin/entry"
)

// rowState is what the last row of an upstream holds.
type rowState int

const (
	absent rowState = iota
	valid
	invalid
)

// entriesModel is the table of upstreams as other writers change it, and the sink that follows it.
type entriesModel struct {
	daemon   *Daemon
	advance  func(time.Duration)
	rows     map[string]watch.Row
	states   map[string]rowState
	revision watch.Revision
	// unsettled reports that entries that are absent may be kept for a while, because of an outage.
	unsettled bool
}

var modelIDs = []string{"a", "b", "c"}

// oddValues are values of entries that name no upstream.
var oddValues = []string{"", "{", `{"Phase":"ready"}`, entry.Text("s", "10.0.0.9:0", "d1", "1"), entry.Incomplete("s", "10.0.0.9:80", "d1")}

// set changes the row of an upstream, and delivers the change if follow is set.
func (m *entriesModel) set(id string, state rowState, odd string, follow bool) {
	m.revision++
	row := watch.Row{Key: id, Revision: m.revision, Deleted: true}
	switch state {
	case valid:
		row = entryRow(id, "d1", "10.0.0."+string('1'+id[0]-'a')+":80", m.revision)
	case invalid:
		row = watch.Row{Key: id, Revision: m.revision, Value: []byte(odd)}
	}
	m.rows[id], m.states[id] = row, state
	if follow {
		m.daemon.upstreamSink.Change(watch.Batch{Rows: []watch.Row{row}, At: m.revision})
	}
}

// list delivers a listing.
func (m *entriesModel) list() {
	b := watch.Batch{At: m.revision}
	for _, id := range modelIDs {
		if m.states[id] != absent {
			b.Rows = append(b.Rows, m.rows[id])
		}
	}
	m.daemon.upstreamSink.Reset(b)
}

// check compares the upstreams in use with the rows.
func (m *entriesModel) check(t *rapid.T) {
	var used []string
	for _, e := range m.daemon.directory.ForService("s") {
		used = append(used, string(e.ID()))
		if !e.TakesRequests() {
			t.Fatalf("%s is listed and takes no requests", e.ID())
		}
	}
	for _, id := range modelIDs {
		isUsed := slices.Contains(used, id)
		switch {
		case m.states[id] == valid && !isUsed:
			t.Fatalf("%s has a valid entry and is not used", id)
		case m.states[id] == invalid && isUsed:
			t.Fatalf("%s has an invalid entry and is used", id)
		case m.states[id] == absent && isUsed && !m.unsettled:
			t.Fatalf("%s has no entry and is used", id)
		}
	}
}

// TestUpstreamsInUseFollowAnySequenceOfRows guards against an upstream that is used without a valid entry, or
// not used with one, after odd rows, deletions, listings and outages in any order.
func TestUpstreamsInUseFollowAnySequenceOfRows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, clock := newEntriesDaemon(io.Discard)
		m := &entriesModel{daemon: d, advance: clock.Advance, rows: make(map[string]watch.Row), states: make(map[string]rowState)}
		m.list()
		drawSet := func(t *rapid.T, follow bool) {
			id := rapid.SampledFrom(modelIDs).Draw(t, "id")
			state := rapid.SampledFrom([]rowState{absent, valid, invalid}).Draw(t, "state")
			m.set(id, state, rapid.SampledFrom(oddValues).Draw(t, "odd"), follow)
		}
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) { drawSet(t, true) },
			"list":   func(*rapid.T) { m.list() },
			"outage": func(t *rapid.T) {
				d.upstreamSink.StoreUnavailable(errors.New("no response"))
				drawSet(t, false)
				d.upstreamSink.StoreAvailable(watch.Outage{Duration: time.Second})
				m.unsettled = true
				m.list()
			},
			"settle": func(*rapid.T) {
				m.advance(10 * time.Second)
				d.directory.ExpireLapsed()
				m.unsettled = false
			},
			"": m.check,
		})
	})
}

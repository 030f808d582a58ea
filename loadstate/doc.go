// Package loadstate keeps what a VM knows about the load of its upstreams.
//
// The model: State holds one entry for each upstream. An entry joins three
// things: the requests that this VM itself has in flight (Begin, Call.End),
// the upstream's last report of its load, which lags (ObserveLoad), and
// smoothed times. A report counts everyone's requests, so the part of the other
// senders is the report less the requests that this VM had in flight when the
// report was taken. What this VM has in flight now is always counted exactly.
//
// Upstreams are grouped by model version or plain service (Key). Reconcile
// installs the groups of a configuration; View returns one group as a
// route.Source. Reading a view takes no lock.
//
//	state := loadstate.New(loadstate.DefaultOptions())
//	state.Reconcile(groups)
//	view, _ := state.View(key, now)
//	d, ok := policy.Select(&req, view)
//	call := state.Begin(d.Upstream.ID, now)
//	call.FirstToken(now)
//	call.End(now)
//
// Locality is a bounded index of the prompt prefixes that upstreams are believed
// to hold. It learns from this VM's own requests and from cache events, which
// come late and with gaps, so it only gives hints.
//
// All types are safe for concurrent use; time is a parameter everywhere.
package loadstate

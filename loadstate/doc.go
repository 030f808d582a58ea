// Package loadstate tracks the load of the upstreams that a VM uses.
//
// State has one entry for each upstream. An entry combines the number of requests
// that this VM has in flight (Begin, Call.End), the upstream's last load report,
// which arrives with a delay (ObserveLoad), and moving averages of times. A report
// counts the requests of all senders. The number of requests by other senders is
// therefore the reported number less the number that this VM had in flight when
// the report was taken. The requests that this VM has in flight now are always
// counted exactly.
//
// Upstreams are grouped by model version or plain service (Key). Reconcile
// installs the groups of a configuration; View returns one group as a
// route.Source. Reading a view takes no lock.
//
//	state := loadstate.New(loadstate.DefaultOptions())
//	state.Reconcile(config)
//	view, ok := state.View(key, now)
//	d, ok := policy.Select(&req, view)
//	call, err := state.Begin(d.Upstream.ID, now)
//	call.FirstToken(wait)
//	call.End(now, completed)
//
// PrefixIndex is a bounded index of the prompt prefixes that upstreams probably have
// cached. It is updated by the requests of this VM and by cache events of the
// engines. Those events arrive late and with gaps, so the index gives hints only.
//
// All types are safe for concurrent use. Nothing reads a clock: the current time is
// a parameter.
package loadstate

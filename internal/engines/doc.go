// Package engines maintains this VM's view of the upstreams that are registered
// with the platform, and selects among them. The view holds their entries, which
// of them are leaving, their estimated load and their recent failures.
//
// An entry may be missing only because its upstream could not renew it while the
// store was unavailable. An entry that disappears during an outage of the store,
// or within Options.ReregistrationGrace after it, is therefore kept until that time has
// passed, and is then removed. An upstream that was already leaving is removed at
// once.
package engines

package capacity

import "fmt"

// backlogBytes is the default bound of a ledger writer's backlog.
const backlogBytes = 100_000 * 640

// event is a disturbance and the work that it brings.
type event struct {
	name string
	work func(s Size, m *measured) string
}

func events() []event {
	return []event{
		{"130 VMs fail and 1,500 are replaced a day", replacedVMs},
		{"a failure domain is lost", lostDomain},
		{"a region is apart for an hour", regionApart},
		{"the store is out for an hour", storeOut},
	}
}

func replacedVMs(s Size, m *measured) string {
	starts := (s.FailuresPerDay + s.ReplacedPerDay) / secondsPerDay
	start := m.at("document.packed_bytes", s.Engines) + m.at("vmlist.read_bytes", s.Nodes) + inSight(s)*m.at("load.pull_bytes", inSight(s))
	return fmt.Sprintf("a start each %.0f s; each reads %.1f MB (document, list, load reports of %.0f engines), %.0f KB/s in sum; "+
		"one head read each; reports of all engines in sight take %.0f s to read at %.0f a second",
		1/starts, start/megabyte, inSight(s), starts*start/kilobyte, inSight(s)/pullsPerSecond, pullsPerSecond)
}

func lostDomain(s Size, m *measured) string {
	nodes, engines := s.Nodes/s.Domains, s.Engines/s.Domains
	return fmt.Sprintf("%.0f nodes and %.0f engines go; the others take %.1f%% more requests; one job of orders moves to another "+
		"holder; a node loses %.0f of the %.0f engines in its sight; "+
		"bills of at most %.1f s of %.0f requests a second are unwritten on the lost nodes",
		nodes, engines, percent/(s.Domains-1), inSight(s)/s.Domains, inSight(s), 1/segmentsOf(s.Nodes),
		s.RequestsPerSecond/s.Domains)
}

func regionApart(s Size, m *measured) string {
	nodes := s.Nodes / s.Regions
	changes := s.ChangesPerDay / 24
	size := m.at("document.packed_bytes", s.Engines)
	return fmt.Sprintf("the side without the store turns not ready within its freshness bound: %.0f nodes of one region, %.0f requests "+
		"a second for the others to take; %.0f changes are accepted meanwhile, of which each node then fetches the newest alone: %.1f MB in sum",
		nodes, s.RequestsPerSecond/s.Regions, changes, nodes*size/megabyte)
}

func storeOut(s Size, m *measured) string {
	each := s.RequestsPerSecond / s.Nodes * m.slope("ledger.segment_bytes")
	lasts := backlogBytes / each
	return fmt.Sprintf("no change is accepted (%.0f in that hour wait); bills grow by %.1f KB/s on each node, so the backlog "+
		"of %.1f MB would last %.0f min; requests are refused truly once it is full; then %.1f GB are written, at %.0f segments of 256 KiB",
		s.ChangesPerDay/24, each/kilobyte, backlogBytes/megabyte, lasts/60,
		min(lasts, secondsPerHour)*each*s.Nodes/1e9, min(lasts, secondsPerHour)*each*s.Nodes/(256<<10))
}

package capacity

import "fmt"

// maxBacklogBytes is the default maximum of a ledger writer's backlog: 100,000
// billing records of 640 bytes.
const maxBacklogBytes = 100_000 * 640

// event is a failure or a change of the system, with a description of the work
// that it causes.
type event struct {
	name     string
	describe func(s Size, m *costModel) string
}

// events returns the events of the page's event table.
func events() []event {
	return []event{
		{"130 VMs fail and 1,500 are replaced a day", vmReplacement},
		{"a failure domain is lost", domainLoss},
		{"a region is apart for an hour", regionPartition},
		{"the store is out for an hour", storeOutage},
	}
}

// vmReplacement describes what starting VMs read, at the mean rate of starts.
func vmReplacement(s Size, m *costModel) string {
	startsPerSecond := (s.FailuresPerDay + s.ReplacedPerDay) / secondsPerDay
	bytesPerStart := m.at("document.packed_bytes", s.Engines) + m.at("vmlist.read_bytes", s.Nodes) +
		visibleEngines(s)*m.at("load.pull_bytes", visibleEngines(s))
	return fmt.Sprintf("a start each %.0f s; each reads %.1f MB (document, list, load reports of %.0f engines), %.0f KB/s in sum; "+
		"one head read each; reports of all engines in sight take %.0f s to read at %.0f a second",
		1/startsPerSecond, bytesPerStart/megabyte, visibleEngines(s), startsPerSecond*bytesPerStart/kilobyte,
		visibleEngines(s)/loadPullsPerSecond, loadPullsPerSecond)
}

// domainLoss describes the loss of one failure domain of average size.
func domainLoss(s Size, m *costModel) string {
	nodes, engines := s.Nodes/s.Domains, s.Engines/s.Domains
	return fmt.Sprintf("%.0f nodes and %.0f engines go; the others take %.1f%% more requests; one job of orders moves to another "+
		"holder; a node loses %.0f of the %.0f engines in its sight; "+
		"bills of at most %.1f s of %.0f requests a second are unwritten on the lost nodes",
		nodes, engines, percent/(s.Domains-1), visibleEngines(s)/s.Domains, visibleEngines(s), 1/segmentsPerWriter(s.Nodes),
		s.RequestsPerSecond/s.Domains)
}

// regionPartition describes one hour in which one region of average size is
// disconnected from the others.
func regionPartition(s Size, m *costModel) string {
	nodes := s.Nodes / s.Regions
	changes := s.ChangesPerDay / 24
	documentBytes := m.at("document.packed_bytes", s.Engines)
	return fmt.Sprintf("the side without the store turns not ready within its freshness bound: %.0f nodes of one region, %.0f requests "+
		"a second for the others to take; %.0f changes are accepted meanwhile, of which each node then fetches the newest alone: %.1f MB in sum",
		nodes, s.RequestsPerSecond/s.Regions, changes, nodes*documentBytes/megabyte)
}

// storeOutage describes one hour in which the store is unavailable.
func storeOutage(s Size, m *costModel) string {
	bytesPerSecond := s.RequestsPerSecond / s.Nodes * m.slope("ledger.segment_bytes")
	backlogSeconds := maxBacklogBytes / bytesPerSecond
	return fmt.Sprintf("no change is accepted (%.0f in that hour wait); bills grow by %.1f KB/s on each node, so the backlog "+
		"of %.1f MB would last %.0f min; requests are refused truly once it is full; then %.1f GB are written, at %.0f segments of 256 KiB",
		s.ChangesPerDay/24, bytesPerSecond/kilobyte, maxBacklogBytes/megabyte, backlogSeconds/60,
		min(backlogSeconds, secondsPerHour)*bytesPerSecond*s.Nodes/1e9, min(backlogSeconds, secondsPerHour)*bytesPerSecond*s.Nodes/(256<<10))
}

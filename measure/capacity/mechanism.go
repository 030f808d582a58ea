package capacity

import "github.com/poplarshore/poplarshore/internal/limits"

// mechanism is one part of the control plane whose cost is calculated.
type mechanism struct {
	name string
	role string
	// state describes the data that a node stores, implementation the packages or
	// components that do the work.
	state, implementation string
	// nodeCount returns the number of nodes that have the cost.
	nodeCount func(s Size) float64
	// cost returns the cost for each of these nodes.
	cost func(s Size, m *costModel) Cost
}

// The rates, periods and sizes of the mechanisms, which follow the defaults of
// the programs. Periods are in seconds.
const (
	exchangesPerSecond     = 2.0   // exchanges of digests that each node initiates
	headReadsPerSecond     = 20.0  // reads of the head row by all nodes together
	loadPullsPerSecond     = 20.0  // load reports that each node reads
	enginesPerVersion      = 16.0  // engines that each node uses for one version
	limitReportsPerSecond  = 1.0   // reports from each node to each other node
	minListPeriod          = 5.0   // minimum time between a node's reads of the list of VMs
	listReadsPerSecond     = 33.0  // reads of the list of VMs by all nodes together
	rolloutWritesPerSecond = 50.0  // reports on one roll-out by all nodes together
	readsPerRolloutWrite   = 2.0   // store reads for each such report
	rolloutRowBytes        = 1000  // assumed size of a report row
	orderPeriod            = 5.0   // time between rounds of orders
	maxSegmentInterval     = 0.5   // longest interval between segments of a lone ledger writer
	ledgerWritesPerSecond  = 200.0 // maximum of segments written by all writers together
	settlePeriod           = 5.0   // time between passes of settlement
	bucketSeconds          = 300.0 // length of a settlement bucket
	leaseRenewalPeriod     = 3.0   // time between renewals of a lease
	contendersPerLease     = 5.0   // nodes that contend for the lease of one job
	otherJobs              = 2.0   // jobs with a lease besides the orders of each domain
	leaseRowBytes          = 200   // assumed size of a lease row
	messagesPerCall        = 2.0   // a request and its response
	bothDirections         = 2.0   // a node serves as many calls as it makes
)

func everyNode(s Size) float64    { return s.Nodes }
func oneHolder(Size) float64      { return 1 }
func domainHolder(s Size) float64 { return s.Domains }

// nodeMechanisms returns the control mechanisms that run on every entry VM.
func nodeMechanisms() []mechanism {
	return []mechanism{
		{
			"configuration", "entry", "document and index, two during a change", "coord/revision, document", everyNode, configuration,
		},
		{
			"revision digests", "entry", "newest statement of each node", "coord/revision, internal/peer", everyNode, revisionDigests,
		},
		{
			"list of VMs", "entry", "address of each node", "platform/httplist", everyNode, vmList,
		},
		{
			"load reports", "entry", "one report per engine in sight", "loadstate, internal/placement", everyNode, loadReports,
		},
		{
			"limit reports", "entry", "demand of each account at each node", "limit, internal/limits", everyNode, limitShares,
		},
		{
			"roll-out reports", "entry", "sums per roll-out", "rollout, internal/versions", everyNode, rolloutReports,
		},
		{
			"ledger commit", "entry", "open and unwritten segments", "coord/ledger", everyNode, ledgerCommit,
		},
	}
}

// holderMechanisms returns the jobs that run only on the node that holds their
// lease.
func holderMechanisms() []mechanism {
	return []mechanism{
		{
			"orders to engines", "control", "state and record per engine", "order, one job a failure domain", domainHolder, engineOrders,
		},
		{
			"ledger settlement", "control", "one row per account, bucket and shard", "coord/ledger", oneHolder, settlement,
		},
		{
			"leases", "control", "one row per job", "coord/lease", oneHolder, leases,
		},
	}
}

func configuration(s Size, m *costModel) Cost {
	rate := s.ChangesPerSecond()
	size := m.at("document.bytes", s.Engines)
	return Cost{
		CPU:      rate * (m.at("document.install_cpu", s.Engines) + m.at("document.unpack_cpu", s.Engines)) * microsecond,
		Memory:   2 * (m.at("document.heap", s.Engines) + size),
		Bytes:    rate * m.at("document.packed_bytes", s.Engines) * bothDirections,
		Messages: rate * messagesPerCall * bothDirections,
		// One object and one head row for each change.
		StoreWrites: rate * 2,
	}
}

func revisionDigests(s Size, m *costModel) Cost {
	return digestCost(s, m, "revision")
}

// digestCost returns the cost of exchanging digests, from the series of a probe.
// Each exchange is charged with a new connection.
func digestCost(s Size, m *costModel, probe string) Cost {
	return Cost{
		CPU:        exchangesPerSecond * m.at(probe+".exchange_new_cpu", s.Nodes) * microsecond,
		Memory:     m.at(probe+".heap", s.Nodes),
		Bytes:      exchangesPerSecond * bothDirections * m.at(probe+".exchange_new_bytes", s.Nodes),
		Messages:   exchangesPerSecond * bothDirections * messagesPerCall,
		StoreReads: headReadsPerSecond,
	}
}

func vmList(s Size, m *costModel) Cost {
	return vmListCost(s, m, max(minListPeriod, s.Nodes/listReadsPerSecond))
}

// vmListCost returns the cost of reading the list of VMs once per period, in
// seconds.
func vmListCost(s Size, m *costModel, period float64) Cost {
	size := m.at("vmlist.read_bytes", s.Nodes)
	return Cost{
		CPU:      m.at("vmlist.read_cpu", s.Nodes) * microsecond / period,
		Memory:   size,
		Bytes:    size / period,
		Messages: messagesPerCall / period,
	}
}

func loadReports(s Size, m *costModel) Cost {
	return loadPullCost(m, loadPullsPerSecond, visibleEngines(s))
}

// loadPullCost returns the cost of reading load reports at a rate per second and
// of storing one report for each engine.
func loadPullCost(m *costModel, perSecond, engines float64) Cost {
	return Cost{
		CPU:      perSecond * m.at("load.pull_cpu", engines) * microsecond,
		Memory:   engines * m.at("load.pull_bytes", engines),
		Bytes:    perSecond * m.at("load.pull_bytes", engines),
		Messages: perSecond * messagesPerCall,
	}
}

// visibleEngines returns the number of engines whose load one node observes.
func visibleEngines(s Size) float64 {
	return min(s.Versions*enginesPerVersion, s.Engines)
}

// limitShares returns the cost of limit reports. Bytes and Messages count sent
// and received reports. CPU counts each call once, because its measurement
// includes both ends. No reports are sent to more than limits.MaxReportPeers
// other nodes.
func limitShares(s Size, m *costModel) Cost {
	calls := limitReportsPerSecond * (s.Nodes - 1)
	if s.Nodes-1 > limits.MaxReportPeers {
		calls = 0
	}
	return Cost{
		CPU:      calls * m.at("limit.report_cpu", s.Nodes) * microsecond,
		Memory:   m.at("limit.heap", s.Nodes),
		Bytes:    bothDirections * calls * m.at("limit.report_bytes", s.Nodes),
		Messages: bothDirections * calls * messagesPerCall,
	}
}

func rolloutReports(s Size, m *costModel) Cost {
	writesPerNode := rolloutWritesPerSecond / s.Nodes
	readCost, writeCost := m.at("store.read_cpu", rolloutRowBytes), m.at("store.write_cpu", rolloutRowBytes)
	return Cost{
		CPU:         writesPerNode * (readsPerRolloutWrite*readCost + writeCost) * microsecond,
		Memory:      rolloutRowBytes,
		Bytes:       writesPerNode * (readsPerRolloutWrite*m.at("store.read_bytes", rolloutRowBytes) + m.at("store.write_bytes", rolloutRowBytes)),
		Messages:    writesPerNode * (readsPerRolloutWrite + 1) * messagesPerCall,
		StoreReads:  rolloutWritesPerSecond * readsPerRolloutWrite,
		StoreWrites: rolloutWritesPerSecond,
	}
}

func ledgerCommit(s Size, m *costModel) Cost {
	return ledgerWriterCost(s, m, s.Nodes, 1)
}

// segmentsPerWriter returns the segments that each of the writers writes per
// second while it has entries to write: one per maxSegmentInterval, or fewer if
// all writers together would otherwise exceed ledgerWritesPerSecond.
func segmentsPerWriter(writers float64) float64 {
	return min(1/maxSegmentInterval, ledgerWritesPerSecond/writers)
}

// ledgerWriterCost returns the cost for each of the writers, which share all
// requests evenly. hops is the number of connections over which a bill passes.
func ledgerWriterCost(s Size, m *costModel, writers, hops float64) Cost {
	requestsPerSecond := s.RequestsPerSecond / writers
	segmentsPerSecond := min(segmentsPerWriter(writers), requestsPerSecond)
	segmentBytes := m.slope("ledger.segment_bytes") * requestsPerSecond / segmentsPerSecond
	return Cost{
		CPU:         (requestsPerSecond*m.slope("ledger.write_cpu") + segmentsPerSecond*m.at("store.write_cpu", segmentBytes)) * microsecond,
		Memory:      segmentBytes * 2,
		Bytes:       hops * segmentsPerSecond * m.at("store.write_bytes", segmentBytes),
		Messages:    hops * segmentsPerSecond * messagesPerCall,
		StoreWrites: segmentsPerSecond * writers,
	}
}

func engineOrders(s Size, m *costModel) Cost {
	return orderRoundCost(s, m, orderPeriod)
}

// orderRoundCost returns the cost of one failure domain's orders: in each
// period, in seconds, the holder reads the state of all engines and plans.
func orderRoundCost(s Size, m *costModel, period float64) Cost {
	engines := s.Engines / s.Domains
	return Cost{
		CPU:      (engines*m.at("load.pull_cpu", engines) + m.at("order.plan_cpu", engines)) * microsecond / period,
		Memory:   m.at("order.heap", engines),
		Bytes:    engines * m.at("load.pull_bytes", engines) / period,
		Messages: engines * messagesPerCall / period,
	}
}

// settlement returns the cost of settling segments. It assumes that the store's
// rows are half full on average; each pass reads and rewrites them completely.
func settlement(s Size, m *costModel) Cost {
	segments := s.Nodes * segmentsPerWriter(s.Nodes)
	rowBytes := m.slope("ledger.row_bytes") * s.RequestsPerSecond * bucketSeconds / 2
	incomingBytes := s.RequestsPerSecond * m.slope("ledger.segment_bytes")
	return Cost{
		CPU:         s.RequestsPerSecond * m.slope("ledger.settle_cpu") * microsecond,
		Memory:      rowBytes,
		Bytes:       incomingBytes + 2*rowBytes/settlePeriod,
		Messages:    messagesPerCall * 2 * segments,
		StoreReads:  segments,
		StoreWrites: segments,
	}
}

// leases returns the cost of renewing one lease on its holder, and the store
// accesses of all leases and their contenders.
func leases(s Size, m *costModel) Cost {
	jobs := s.Domains + otherJobs
	renewals := 1 / leaseRenewalPeriod
	return Cost{
		CPU:         renewals * m.at("store.write_cpu", leaseRowBytes) * microsecond,
		Memory:      leaseRowBytes,
		Bytes:       renewals * m.at("store.write_bytes", leaseRowBytes),
		Messages:    renewals * messagesPerCall,
		StoreReads:  jobs * (contendersPerLease - 1) / leaseRenewalPeriod,
		StoreWrites: jobs / leaseRenewalPeriod,
	}
}

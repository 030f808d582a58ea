package capacity

import "github.com/poplarshore/poplarshore/internal/limits"

// mechanism is one part of the system whose cost is worked out.
type mechanism struct {
	name string
	role string
	// state tells what is kept, carries what does the work.
	state, carries string
	// bearers is the number of nodes that bear the cost at the size.
	bearers func(s Size) float64
	cost    func(s Size, m *measured) Cost
}

// The rates at which the mechanisms work, as the programs' defaults have them.
const (
	fanOut           = 2.0   // digests begun per node and second
	headReads        = 20.0  // reads of the head row per second, all nodes
	pullsPerSecond   = 20.0  // load reports read per node
	subsetPerVersion = 16.0  // engines in sight for one version
	limitReports     = 1.0   // reports to each other node per second
	listPeriod       = 5.0   // least seconds between reads of the list of VMs
	listReads        = 33.0  // reads of the list per second, all nodes
	rolloutWrites    = 50.0  // reports on one roll-out per second, all nodes
	rolloutReads     = 2.0   // reads for each such report
	rolloutRowBytes  = 1000  // size of a report row reckoned with
	orderPeriod      = 5.0   // seconds between rounds of orders
	segmentInterval  = 0.5   // seconds, the longest pace of a ledger writer alone
	ledgerWrites     = 200.0 // segments per second that all writers share
	settlePeriod     = 5.0   // seconds between passes of settlement
	bucketSeconds    = 300.0 // a settlement bucket
	leaseRenewal     = 3.0   // seconds between renewals of a lease
	leaseContenders  = 5.0   // nodes that contend for one job
	jobsBesideOrders = 2.0
	leaseRowBytes    = 200
	messagesPerCall  = 2.0 // a request and its answer
	bothWays         = 2.0 // a node answers as many calls as it begins
)

func everyNode(s Size) float64    { return s.Nodes }
func oneHolder(Size) float64      { return 1 }
func domainHolder(s Size) float64 { return s.Domains }

// nodeMechanisms are the duties of control that every entry VM bears.
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

// holderMechanisms are the jobs that one node at a time holds by a lease.
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

func configuration(s Size, m *measured) Cost {
	rate := s.ChangesPerSecond()
	size := m.at("document.bytes", s.Engines)
	return Cost{
		CPU:      rate * (m.at("document.install_cpu", s.Engines) + m.at("document.unpack_cpu", s.Engines)) * microsecond,
		Memory:   2 * (m.at("document.heap", s.Engines) + size),
		Bytes:    rate * m.at("document.packed_bytes", s.Engines) * bothWays,
		Messages: rate * messagesPerCall * bothWays,
		// One object and one head row for each change.
		StoreWrites: rate * 2,
	}
}

func revisionDigests(s Size, m *measured) Cost {
	return digests(s, m, "revision")
}

func digests(s Size, m *measured, probe string) Cost {
	return Cost{
		CPU:        fanOut * m.at(probe+".exchange_new_cpu", s.Nodes) * microsecond,
		Memory:     m.at(probe+".heap", s.Nodes),
		Bytes:      fanOut * bothWays * m.at(probe+".exchange_new_bytes", s.Nodes),
		Messages:   fanOut * bothWays * messagesPerCall,
		StoreReads: headReads,
	}
}

func vmList(s Size, m *measured) Cost {
	return readList(s, m, max(listPeriod, s.Nodes/listReads))
}

func readList(s Size, m *measured, period float64) Cost {
	size := m.at("vmlist.read_bytes", s.Nodes)
	return Cost{
		CPU:      m.at("vmlist.read_cpu", s.Nodes) * microsecond / period,
		Memory:   size,
		Bytes:    size / period,
		Messages: messagesPerCall / period,
	}
}

func loadReports(s Size, m *measured) Cost {
	return pulls(m, pullsPerSecond, inSight(s))
}

func pulls(m *measured, perSecond, engines float64) Cost {
	return Cost{
		CPU:      perSecond * m.at("load.pull_cpu", engines) * microsecond,
		Memory:   engines * m.at("load.pull_bytes", engines),
		Bytes:    perSecond * m.at("load.pull_bytes", engines),
		Messages: perSecond * messagesPerCall,
	}
}

// inSight returns the engines that one node deals with.
func inSight(s Size) float64 {
	return min(s.Versions*subsetPerVersion, s.Engines)
}

// limitShares counts what a node sends and what it receives; a call was
// measured with both of its ends. With many nodes none reports.
func limitShares(s Size, m *measured) Cost {
	calls := limitReports * (s.Nodes - 1)
	if s.Nodes-1 > limits.MaxReportPeers {
		calls = 0
	}
	return Cost{
		CPU:      calls * m.at("limit.report_cpu", s.Nodes) * microsecond,
		Memory:   m.at("limit.heap", s.Nodes),
		Bytes:    bothWays * calls * m.at("limit.report_bytes", s.Nodes),
		Messages: bothWays * calls * messagesPerCall,
	}
}

func rolloutReports(s Size, m *measured) Cost {
	each := rolloutWrites / s.Nodes
	read, write := m.at("store.read_cpu", rolloutRowBytes), m.at("store.write_cpu", rolloutRowBytes)
	return Cost{
		CPU:         each * (rolloutReads*read + write) * microsecond,
		Memory:      rolloutRowBytes,
		Bytes:       each * (rolloutReads*m.at("store.read_bytes", rolloutRowBytes) + m.at("store.write_bytes", rolloutRowBytes)),
		Messages:    each * (rolloutReads + 1) * messagesPerCall,
		StoreReads:  rolloutWrites * rolloutReads,
		StoreWrites: rolloutWrites,
	}
}

func ledgerCommit(s Size, m *measured) Cost {
	return commit(s, m, s.Nodes, 1)
}

// segmentsOf returns the segments that one of the writers writes per second.
func segmentsOf(writers float64) float64 {
	return min(1/segmentInterval, ledgerWrites/writers)
}

// commit is the cost for each of the writers, each of which carries an
// even share of all requests.
func commit(s Size, m *measured, writers, hops float64) Cost {
	rate := s.RequestsPerSecond / writers
	segments := min(segmentsOf(writers), rate)
	body := m.slope("ledger.segment_bytes") * rate / segments
	return Cost{
		CPU:         (rate*m.slope("ledger.write_cpu") + segments*m.at("store.write_cpu", body)) * microsecond,
		Memory:      body * 2,
		Bytes:       hops * segments * m.at("store.write_bytes", body),
		Messages:    hops * segments * messagesPerCall,
		StoreWrites: segments * writers,
	}
}

func engineOrders(s Size, m *measured) Cost {
	return ordersEach(s, m, orderPeriod)
}

func ordersEach(s Size, m *measured, period float64) Cost {
	engines := s.Engines / s.Domains
	return Cost{
		CPU:      (engines*m.at("load.pull_cpu", engines) + m.at("order.plan_cpu", engines)) * microsecond / period,
		Memory:   m.at("order.heap", engines),
		Bytes:    engines * m.at("load.pull_bytes", engines) / period,
		Messages: engines * messagesPerCall / period,
	}
}

// settlement is reckoned with the store's rows half full, which a pass reads
// and writes whole.
func settlement(s Size, m *measured) Cost {
	segments := s.Nodes * segmentsOf(s.Nodes)
	rows := m.slope("ledger.row_bytes") * s.RequestsPerSecond * bucketSeconds / 2
	incoming := s.RequestsPerSecond * m.slope("ledger.segment_bytes")
	return Cost{
		CPU:         s.RequestsPerSecond * m.slope("ledger.settle_cpu") * microsecond,
		Memory:      rows,
		Bytes:       incoming + 2*rows/settlePeriod,
		Messages:    messagesPerCall * 2 * segments,
		StoreReads:  segments,
		StoreWrites: segments,
	}
}

func leases(s Size, m *measured) Cost {
	jobs := s.Domains + jobsBesideOrders
	renewals := 1 / leaseRenewal
	return Cost{
		CPU:         renewals * m.at("store.write_cpu", leaseRowBytes) * microsecond,
		Memory:      leaseRowBytes,
		Bytes:       renewals * m.at("store.write_bytes", leaseRowBytes),
		Messages:    renewals * messagesPerCall,
		StoreReads:  jobs * (leaseContenders - 1) / leaseRenewal,
		StoreWrites: jobs / leaseRenewal,
	}
}

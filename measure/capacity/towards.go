package capacity

const (
	towardsListPeriod  = 60.0 // seconds between reads of the list, changes come by digests
	towardsOrderPeriod = 15.0 // seconds between rounds of orders
	changedUpstreams   = 10.0 // upstreams in the difference that a change carries
	towardsPulls       = 10.0 // load reports read per node and second
	towardsSubset      = 16.0 // engines in sight for one version
	hopsToWriter       = 2.0  // a bill goes to its domain's writer and from there to the store
)

// changedNodeMechanisms work out, from the same slopes, every node's duties in
// a design that is changed where the present one does not fit.
func changedNodeMechanisms() []mechanism {
	return []mechanism{
		{
			"configuration by differences, checked once", "entry", "document and index", "a difference per change", everyNode, configurationDifferences,
		},
		{
			"digests of 16 statements", "entry", "newest statement of each node", "coord/revision, Options.Statements", everyNode, smallDigests,
		},
		{
			"list of VMs each minute", "entry", "address of each node", "changes by digests", everyNode, slowList,
		},
		{
			"load reports, 10 a second of 16 engines a version", "entry", "one report per engine in sight", "smaller subsets", everyNode, fewLoadReports,
		},
		{
			"bills to the domain's writer", "entry", "bills not yet acknowledged", "one writer a failure domain", everyNode, sentBills,
		},
		{
			"limit reports to a sum per domain", "entry", "own demand and the sums", "one summing node per failure domain", everyNode, summedLimits,
		},
		{
			"roll-out reports", "entry", "sums per roll-out", "unchanged", everyNode, rolloutReports,
		},
	}
}

// changedHolderMechanisms are the jobs of the changed design.
func changedHolderMechanisms() []mechanism {
	return []mechanism{
		{
			"summing of limit reports", "entry", "demand of a domain's nodes", "one job a failure domain", domainHolder, summingNode,
		},
		{
			"ledger commit", "entry", "open segments of a domain", "one writer a failure domain", domainHolder, domainCommit,
		},
		{
			"ledger settlement by append", "control", "ids of the open bucket", "one job a failure domain", domainHolder, appendedSettlement,
		},
		{
			"orders each 15 s", "control", "state and record per engine", "one job a failure domain", domainHolder, slowOrders,
		},
		{
			"leases", "control", "one row per job", "unchanged", oneHolder, leases,
		},
	}
}

func configurationDifferences(s Size, m *measured) Cost {
	rate := s.ChangesPerSecond()
	difference := m.slope("document.bytes") * changedUpstreams
	return Cost{
		CPU:         rate * m.at("document.decode_cpu", changedUpstreams) * microsecond,
		Memory:      2 * (m.at("document.heap", s.Engines) + m.at("document.bytes", s.Engines)),
		Bytes:       rate * difference * bothWays,
		Messages:    rate * messagesPerCall * bothWays,
		StoreWrites: rate * 2,
	}
}

func smallDigests(s Size, m *measured) Cost {
	return digests(s, m, "smalldigest")
}

func slowList(s Size, m *measured) Cost {
	return readList(s, m, towardsListPeriod)
}

func fewLoadReports(s Size, m *measured) Cost {
	return pulls(m, towardsPulls, s.Versions*towardsSubset)
}

// sentBills is what a node sends to its domain's writer, as often as the
// writer writes.
func sentBills(s Size, m *measured) Cost {
	c := commit(s, m, s.Nodes, 1)
	c.StoreWrites = 0
	return c
}

func summedLimits(s Size, m *measured) Cost { return limitCalls(s, m, 1) }

// summingNode hears its domain's nodes and exchanges sums with the other domains.
func summingNode(s Size, m *measured) Cost {
	return limitCalls(s, m, s.Nodes/s.Domains+bothWays*(s.Domains-1))
}

func limitCalls(s Size, m *measured, calls float64) Cost {
	return Cost{
		CPU:      calls * m.at("limit.report_cpu", s.Nodes/s.Domains) * microsecond,
		Memory:   m.at("limit.heap", s.Nodes/s.Domains),
		Bytes:    calls * m.at("limit.report_bytes", s.Nodes/s.Domains),
		Messages: calls * messagesPerCall,
	}
}

func domainCommit(s Size, m *measured) Cost {
	return commit(s, m, s.Domains, hopsToWriter)
}

func appendedSettlement(s Size, m *measured) Cost {
	segments := segmentsOf(s.Domains)
	requests := s.RequestsPerSecond / s.Domains
	ids := requests * m.slope("ledger.row_bytes")
	return Cost{
		CPU:         requests * m.slope("ledger.settle_cpu") * microsecond,
		Memory:      ids * bucketSeconds,
		Bytes:       requests*m.slope("ledger.segment_bytes") + ids,
		Messages:    messagesPerCall * 2 * segments,
		StoreReads:  segments * s.Domains,
		StoreWrites: (segments + s.Accounts/settlePeriod) * s.Domains,
	}
}

func slowOrders(s Size, m *measured) Cost {
	return ordersEach(s, m, towardsOrderPeriod)
}

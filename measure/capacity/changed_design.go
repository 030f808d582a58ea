package capacity

// The rates, periods and sizes of the changed design. Periods are in seconds.
const (
	changedListPeriod         = 60.0 // time between a node's reads of the list of VMs; digests distribute changes
	changedOrderPeriod        = 15.0 // time between rounds of orders
	upstreamsPerChange        = 10.0 // upstreams in the difference that is sent for a change
	changedLoadPullsPerSecond = 10.0 // load reports that each node reads
	changedEnginesPerVersion  = 16.0 // engines that each node uses for one version
	hopsPerBill               = 2.0  // a bill is sent to its domain's writer and from there to the store
)

// changedNodeMechanisms returns the mechanisms of every node in a design that
// differs from the present one where that exceeds the limits. Their costs are
// calculated from the same measured series.
func changedNodeMechanisms() []mechanism {
	return []mechanism{
		{
			"configuration by differences, checked once", "entry", "document and index", "a difference per change", everyNode, configurationDifferences,
		},
		{
			"digests of 16 statements", "entry", "newest statement of each node", "coord/revision, Options.Statements", everyNode, smallDigests,
		},
		{
			"list of VMs each minute", "entry", "address of each node", "changes by digests", everyNode, infrequentList,
		},
		{
			"load reports, 10 a second of 16 engines a version", "entry", "one report per engine in sight", "smaller subsets", everyNode, fewerLoadReports,
		},
		{
			"bills to the domain's writer", "entry", "bills not yet acknowledged", "one writer a failure domain", everyNode, forwardedBills,
		},
		{
			"limit reports to a sum per domain", "entry", "own demand and the sums", "one summing node per failure domain", everyNode, aggregatedLimits,
		},
		{
			"roll-out reports", "entry", "sums per roll-out", "unchanged", everyNode, rolloutReports,
		},
	}
}

// changedHolderMechanisms returns the jobs of the changed design that run only
// on the node that holds their lease.
func changedHolderMechanisms() []mechanism {
	return []mechanism{
		{
			"summing of limit reports", "entry", "demand of a domain's nodes", "one job a failure domain", domainHolder, limitAggregation,
		},
		{
			"ledger commit", "entry", "open segments of a domain", "one writer a failure domain", domainHolder, domainLedgerWriter,
		},
		{
			"ledger settlement by append", "control", "ids of the open bucket", "one job a failure domain", domainHolder, appendedSettlement,
		},
		{
			"orders each 15 s", "control", "state and record per engine", "one job a failure domain", domainHolder, infrequentOrders,
		},
		{
			"leases", "control", "one row per job", "unchanged", oneHolder, leases,
		},
	}
}

func configurationDifferences(s Size, m *costModel) Cost {
	rate := s.ChangesPerSecond()
	differenceBytes := m.slope("document.bytes") * upstreamsPerChange
	return Cost{
		CPU:         rate * m.at("document.decode_cpu", upstreamsPerChange) * microsecond,
		Memory:      2 * (m.at("document.heap", s.Engines) + m.at("document.bytes", s.Engines)),
		Bytes:       rate * differenceBytes * bothDirections,
		Messages:    rate * messagesPerCall * bothDirections,
		StoreWrites: rate * 2,
	}
}

func smallDigests(s Size, m *costModel) Cost {
	return digestCost(s, m, "smalldigest")
}

func infrequentList(s Size, m *costModel) Cost {
	return vmListCost(s, m, changedListPeriod)
}

func fewerLoadReports(s Size, m *costModel) Cost {
	return loadPullCost(m, changedLoadPullsPerSecond, s.Versions*changedEnginesPerVersion)
}

// forwardedBills returns the cost of sending bills to the writer of the node's
// failure domain, at the rate at which a node writes segments in the present
// design. The node makes no writes to the store.
func forwardedBills(s Size, m *costModel) Cost {
	c := ledgerWriterCost(s, m, s.Nodes, 1)
	c.StoreWrites = 0
	return c
}

func aggregatedLimits(s Size, m *costModel) Cost { return limitCallCost(s, m, 1) }

// limitAggregation returns the cost of the node that receives the reports of its
// failure domain's nodes and exchanges their sums with the other domains.
func limitAggregation(s Size, m *costModel) Cost {
	return limitCallCost(s, m, s.Nodes/s.Domains+bothDirections*(s.Domains-1))
}

// limitCallCost returns the cost of a number of limit reports per second, each
// as large as one about the nodes of one failure domain.
func limitCallCost(s Size, m *costModel, calls float64) Cost {
	return Cost{
		CPU:      calls * m.at("limit.report_cpu", s.Nodes/s.Domains) * microsecond,
		Memory:   m.at("limit.heap", s.Nodes/s.Domains),
		Bytes:    calls * m.at("limit.report_bytes", s.Nodes/s.Domains),
		Messages: calls * messagesPerCall,
	}
}

func domainLedgerWriter(s Size, m *costModel) Cost {
	return ledgerWriterCost(s, m, s.Domains, hopsPerBill)
}

func appendedSettlement(s Size, m *costModel) Cost {
	segments := segmentsPerWriter(s.Domains)
	requests := s.RequestsPerSecond / s.Domains
	idBytes := requests * m.slope("ledger.row_bytes")
	return Cost{
		CPU:         requests * m.slope("ledger.settle_cpu") * microsecond,
		Memory:      idBytes * bucketSeconds,
		Bytes:       requests*m.slope("ledger.segment_bytes") + idBytes,
		Messages:    messagesPerCall * 2 * segments,
		StoreReads:  segments * s.Domains,
		StoreWrites: (segments + s.Accounts/settlePeriod) * s.Domains,
	}
}

func infrequentOrders(s Size, m *costModel) Cost {
	return orderRoundCost(s, m, changedOrderPeriod)
}

package route

import "time"

// SpreadScorer adds a random cost to each candidate of the VM's own region. It addresses VMs that
// know the same reports: without it all of them send to the same upstream until a later report
// shows its load. Candidates of equal cost get equal shares, and one that is cheaper by Within
// than all others gets all requests.
//
// The home upstream of the prompt's prefix gets no random cost, so that prefixes stay at home.
// Candidates of other regions get the whole of it, so that chance sends nothing there.
type SpreadScorer struct {
	// Within is the largest random cost.
	Within time.Duration
}

// defaultSpread is about the difference that a further request or two make to the expected wait
// on an upstream with 24 slots and answers of 2 to 3 s.
const defaultSpread = 150 * time.Millisecond

// DefaultSpreadScorer returns the scorer with its default.
func DefaultSpreadScorer() SpreadScorer { return SpreadScorer{Within: defaultSpread} }

// spreadSalt makes the random costs independent of the order in which candidates are sampled,
// which is derived from the same random number of the request.
const spreadSalt = 0x9e3779b97f4a7c15

// Score implements Scorer.
func (s SpreadScorer) Score(r *Request, _ *SampleStats, c *Candidate) float64 {
	switch {
	case r.Home != "" && c.Upstream.ID == r.Home:
		return 0
	case c.PricePerMB > 0: // Only links to other regions have a price.
		return s.Within.Seconds()
	}
	draw := mix(mix(r.Draw^spreadSalt) ^ HashID(c.Upstream.ID))
	return s.Within.Seconds() * float64(draw>>11) / (1 << 53)
}

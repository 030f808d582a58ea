package route

import (
	"time"

	"github.com/poplarshore/poplarshore/contract"
	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/upstream"
)

// MaxHints is the largest number of hints that are used for one request.
const MaxHints = 4

// Hint states that an upstream probably has the leading blocks of the prompt in
// its prefix cache. Hints may be wrong: the blocks may have been evicted, and other
// upstreams may have them cached as well.
type Hint struct {
	Upstream upstream.ID
	// Blocks is the number of leading prompt blocks that are probably cached.
	Blocks int
}

// Request is the input of a decision.
type Request struct {
	// Refs are the model versions that the request may run on: those allowed by
	// the contract and not withdrawn. Empty for a plain service.
	Refs []model.Ref
	// Service is the name of the plain service; empty for a model.
	Service string
	// Region is the region of this VM.
	Region domain.Region
	// Regions are the regions in which the request may be served.
	Regions domain.RegionSet
	// Priority is the contract's priority; higher values are served first, and
	// values above zero are raised priorities.
	Priority int
	// Weights are the contract's weights for cost and latency.
	Weights contract.Weights
	// PromptTokens and AnswerTokens are estimated numbers of tokens.
	PromptTokens int
	AnswerTokens int
	// PromptBlocks is the number of complete blocks of the prompt that were hashed.
	PromptBlocks int
	// Bytes is the expected size of request and answer together on the link.
	Bytes int64
	// Hints lists upstreams that probably have the prompt's prefix cached. Only the
	// first MaxHints are added to the sample.
	Hints []Hint
	// Home is the upstream on which prompts with this prefix are concentrated while
	// no cache is known to have it (see the function Home); empty for none.
	Home upstream.ID
	// Preferred is the upstream of the session's earlier requests; empty for
	// none.
	Preferred upstream.ID
	// Tried are the upstreams that have failed this request.
	Tried []upstream.ID
	// TimeLeft is the time to the deadline, MaxPause the longest pause between events of an
	// answer in time, and FastestAnswer the least AnswerTime of all candidates; zero if
	// unknown.
	TimeLeft, MaxPause, FastestAnswer time.Duration
	// Draw is a random number from which all random choices of the decision are
	// derived, so that a decision is reproducible.
	Draw uint64
}

func (r *Request) allows(ref model.Ref) bool {
	for i := range r.Refs {
		if r.Refs[i] == ref {
			return true
		}
	}
	return false
}

func (r *Request) hasTried(id upstream.ID) bool {
	for _, t := range r.Tried {
		if t == id {
			return true
		}
	}
	return false
}

// hintedBlocks returns the number of blocks that are probably cached on the
// upstream; zero without a hint.
func (r *Request) hintedBlocks(id upstream.ID) int {
	for _, h := range r.Hints {
		if h.Upstream == id {
			return h.Blocks
		}
	}
	return 0
}

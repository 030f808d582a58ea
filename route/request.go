package route

import (
	"github.com/poplarshore/poplarshore/contract"
	"github.com/poplarshore/poplarshore/domain"
	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/upstream"
)

// MaxHints bounds the upstreams that are believed to hold a prompt's prefix.
const MaxHints = 4

// Hint tells that an upstream is believed to hold the first blocks of the
// prompt. Hints may be wrong in both directions.
type Hint struct {
	Upstream upstream.ID
	// Blocks is the number of leading prompt blocks held.
	Blocks int
}

// Request is what a decision needs to know about a request.
type Request struct {
	// Refs are the versions that the request may run on: allowed by the
	// contract and not withdrawn. A request to a plain service has none.
	Refs []model.Ref
	// Service names the plain service; empty for a model.
	Service string
	// Region is the region of this VM.
	Region domain.Region
	// Priority is the contract's priority; higher goes first.
	Priority int
	// Weights are the contract's weights.
	Weights contract.Weights
	// PromptTokens and AnswerTokens are estimates.
	PromptTokens int
	AnswerTokens int
	// PromptBlocks is the number of whole blocks that the prompt hashes to.
	PromptBlocks int
	// Bytes is the expected volume of request and answer on the link.
	Bytes int64
	// Hints name upstreams believed to hold the prompt's prefix.
	Hints []Hint
	// Home is the upstream that unseen prompts with this prefix are gathered
	// on; empty for none.
	Home upstream.ID
	// Preferred is the upstream of the session's earlier requests; empty for
	// none.
	Preferred upstream.ID
	// Tried are the upstreams that have failed this request.
	Tried []upstream.ID
	// Draw is one random number; it makes the decision repeatable.
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

func (r *Request) tried(id upstream.ID) bool {
	for _, t := range r.Tried {
		if t == id {
			return true
		}
	}
	return false
}

func (r *Request) hinted(id upstream.ID) int {
	for _, h := range r.Hints {
		if h.Upstream == id {
			return h.Blocks
		}
	}
	return 0
}

package entry

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/poplarshore/poplarshore/document"
	"github.com/poplarshore/poplarshore/refusal"
)

// Headers between callers and the entry.
const (
	headerRequestID = "Poplarshore-Request-Id"
	headerModel     = "Poplarshore-Model"
	headerVersion   = "Poplarshore-Version"
	headerSession   = "Poplarshore-Session"
	headerRan       = "Poplarshore-Ran"
	headerResume    = "Poplarshore-Resume"
	headerDeadline  = "Poplarshore-Deadline-Ms"
	headerClass     = "Poplarshore-Class"
	headerHop       = "Poplarshore-Hop"
)

// Exchange is one caller's request and all that is done for it.
type Exchange struct {
	// ID is the request id that the caller is told.
	ID     string
	Index  *document.Index
	Client *document.Client
	// Started is when the request arrived.
	Started time.Time
	// Deadline is when the answer is owed.
	Deadline time.Time

	mu       sync.Mutex
	attempts []AttemptCost
	// maybeRan tells that an upstream may have run a part.
	maybeRan bool
	// firstToken and rejected tell how loaded the engines seem.
	firstToken time.Duration
	rejected   bool
}

// use returns what the exchange used of its account's limits.
func (x *Exchange) use() Use {
	tokens := x.tokens()
	x.mu.Lock()
	defer x.mu.Unlock()
	return Use{Tokens: tokens, FirstToken: x.firstToken, Rejected: x.rejected}
}

// noteLoad records what an attempt showed of the engine's load.
func (x *Exchange) noteLoad(firstToken time.Duration, rejected bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if firstToken > 0 {
		x.firstToken = firstToken
	}
	x.rejected = x.rejected || rejected
}

// note records what an attempt cost and that it may have run.
func (x *Exchange) note(cost AttemptCost) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.attempts = append(x.attempts, cost)
	x.maybeRan = true
}

// noteRun records that an attempt may have run.
func (x *Exchange) noteRun(begun bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.maybeRan = x.maybeRan || begun
}

// costs returns what all attempts cost.
func (x *Exchange) costs() []AttemptCost {
	x.mu.Lock()
	defer x.mu.Unlock()
	return slices.Clone(x.attempts)
}

// tokens returns the tokens of all attempts.
func (x *Exchange) tokens() int64 {
	var n int64
	for _, a := range x.costs() {
		n += a.PromptTokens + a.CompletionTokens
	}
	return n
}

// delivered returns the cost of the attempt that became the answer, and marks it.
func (x *Exchange) delivered(a *attempt) AttemptCost {
	x.mu.Lock()
	defer x.mu.Unlock()
	i := slices.IndexFunc(x.attempts, func(c AttemptCost) bool { return c.ID == a.id })
	if i < 0 {
		return AttemptCost{}
	}
	x.attempts[i].Delivered = true
	return x.attempts[i]
}

func (s *Server) newExchange(_ *http.Request) *Exchange {
	now := s.Clock.Now()
	return &Exchange{ID: s.NewRequestID(now), Started: now}
}

// admitCaller finds the client account and checks that this VM may serve.
func (s *Server) admitCaller(x *Exchange, r *http.Request) error {
	x.Index = s.Config.Index()
	if x.Index == nil {
		return refusal.New(refusal.ConfigurationStale)
	}
	if r.Header.Get(headerHop) != "" {
		return refusal.New(refusal.LoopDetected)
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return refusal.New(refusal.Unauthorized)
	}
	if x.Client, ok = x.Index.Client(key); !ok {
		return refusal.New(refusal.Unauthorized)
	}
	if why := s.Config.Refusal(); why != nil {
		return why
	}
	x.Deadline = x.Started.Add(s.deadline(x, r))
	return nil
}

// deadline returns the contract's deadline, or a shorter one that the caller asks for.
func (s *Server) deadline(x *Exchange, r *http.Request) time.Duration {
	limit := x.Client.Contract.Deadline()
	ms, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64)
	if err != nil || ms <= 0 {
		return limit
	}
	return min(limit, time.Duration(ms)*time.Millisecond)
}

// remaining returns the time left before the deadline.
func (s *Server) remaining(x *Exchange) time.Duration {
	return x.Deadline.Sub(s.Clock.Now())
}

// withDeadline bounds ctx by the exchange's deadline.
func (s *Server) withDeadline(ctx context.Context, x *Exchange) (context.Context, context.CancelFunc) {
	return context.WithTimeoutCause(ctx, s.remaining(x), refusal.New(refusal.DeadlineExceeded))
}

// ran tells whether anything of the exchange may have been run.
func (x *Exchange) ran() refusal.Ran {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.maybeRan {
		return refusal.RanUnknown
	}
	return refusal.RanNo
}

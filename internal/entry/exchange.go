package entry

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/poplarshore/poplarshore/contract"
	"github.com/poplarshore/poplarshore/document"
	"github.com/poplarshore/poplarshore/refusal"
)

// Names of the headers between callers and the entry, and of the loop guard.
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

// Exchange is the state of one caller's request over all of its attempts.
type Exchange struct {
	// ID is the request id, which is sent to the caller.
	ID string
	// Index is the configuration that was in force when the request arrived.
	Index *document.Index
	// Client is the caller's account in Index.
	Client *document.Client
	// key is the API key of the request.
	key string
	// StartedAt is when the request arrived.
	StartedAt time.Time
	// Deadline is when the exchange ends, unless a streamed answer has started.
	Deadline time.Time

	mu       sync.Mutex
	attempts []AttemptCost
	// mayHaveRun reports whether an upstream may have run any part of the request.
	mayHaveRun bool
	// firstToken and rejected show the load of the engines; see Usage.
	firstToken time.Duration
	rejected   bool
	// kept is the memory of the exchange; ended reports whether it was released.
	kept  []*kept
	ended bool
}

// usage returns the usage that is charged to the account's limits.
func (x *Exchange) usage() Usage {
	tokens := x.totalTokens()
	x.mu.Lock()
	defer x.mu.Unlock()
	return Usage{Tokens: tokens, FirstToken: x.firstToken, Rejected: x.rejected}
}

// recordLoad records the time to an attempt's first piece, zero if none arrived, and
// whether the engine was too busy to start it.
func (x *Exchange) recordLoad(firstToken time.Duration, rejected bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if firstToken > 0 {
		x.firstToken = firstToken
	}
	x.rejected = x.rejected || rejected
}

// recordCost records the cost of an attempt and that it may have run.
func (x *Exchange) recordCost(cost AttemptCost) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.attempts = append(x.attempts, cost)
	x.mayHaveRun = true
}

// recordMayHaveRun records whether an attempt may have run.
func (x *Exchange) recordMayHaveRun(mayHaveRun bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.mayHaveRun = x.mayHaveRun || mayHaveRun
}

// attemptCosts returns the costs of all attempts.
func (x *Exchange) attemptCosts() []AttemptCost {
	x.mu.Lock()
	defer x.mu.Unlock()
	return slices.Clone(x.attempts)
}

// totalTokens returns the number of tokens of all attempts, prompts included.
func (x *Exchange) totalTokens() int64 {
	var n int64
	for _, a := range x.attemptCosts() {
		n += a.PromptTokens + a.CompletionTokens
	}
	return n
}

// markDelivered marks the attempt as the one that became the answer and returns its
// cost.
func (x *Exchange) markDelivered(a *attempt) AttemptCost {
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
	return &Exchange{ID: s.NewRequestID(now), StartedAt: now}
}

// admitCaller authenticates the client account and sets the deadline. It refuses the
// request if it has passed another router already or this VM may not serve at present.
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
	x.key = key
	if x.Client, ok = x.Index.Client(key); !ok {
		return refusal.New(refusal.Unauthorized)
	}
	if refused := s.Config.Refusal(); refused != nil {
		return refused
	}
	x.Deadline = x.StartedAt.Add(s.requestTimeout(x, r))
	return nil
}

// requestTimeout returns the time limit of the contract, or a shorter one that the
// caller requested in milliseconds.
func (s *Server) requestTimeout(x *Exchange, r *http.Request) time.Duration {
	timeout := x.Client.Contract.Deadline()
	ms, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64)
	if err != nil || ms <= 0 {
		return timeout
	}
	return min(timeout, time.Duration(min(ms, contract.MaxDeadlineMS))*time.Millisecond)
}

// timeLeft returns the time until the deadline.
func (s *Server) timeLeft(x *Exchange) time.Duration {
	return x.Deadline.Sub(s.Clock.Now())
}

// withDeadline returns a context that ends at the exchange's deadline.
func (s *Server) withDeadline(ctx context.Context, x *Exchange) (context.Context, context.CancelFunc) {
	return context.WithTimeoutCause(ctx, s.timeLeft(x), refusal.New(refusal.DeadlineExceeded))
}

// ran returns RanUnknown if any part of the request may have run, otherwise RanNo.
func (x *Exchange) ran() refusal.Ran {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.mayHaveRun {
		return refusal.RanUnknown
	}
	return refusal.RanNo
}

package soak

import (
	"math/rand/v2"

	"github.com/poplarshore/poplarshore/measure/site"
	"github.com/poplarshore/poplarshore/standin/engine"
	"github.com/poplarshore/poplarshore/standin/fault"
	"github.com/poplarshore/poplarshore/standin/platform"
	"github.com/poplarshore/poplarshore/standin/service"
)

// maxStrikes bounds how often one fault strikes.
const maxStrikes = 3

const slowMs = 50

func engineFaults() []fault.Kind {
	return []fault.Kind{
		engine.Refuse, engine.ResetBeforeRead, engine.ResetAfterRead, engine.Stall, engine.Slow, engine.TruncatedResponse,
		engine.DuplicatePiece, engine.ReorderPieces, engine.WrongAttemptPiece, engine.ErrorStatus,
	}
}

func serviceFaults() []fault.Kind {
	return []fault.Kind{
		service.Refuse, service.ResetBeforeRead, service.ResetAfterRead, service.TruncatedResponse, service.ErrorStatus,
	}
}

// faultsOfServices returns the kinds that the options allow.
func (r *run) faultsOfServices() []fault.Kind {
	kinds := serviceFaults()
	if r.options.SilentServices {
		kinds = append(kinds, service.Stall)
	}
	return kinds
}

func platformFaults() []fault.Kind {
	return []fault.Kind{platform.Unavailable, platform.Slow, platform.ReplyLost, platform.RequestLost, platform.StaleList}
}

// strike switches on one fault at one stand-in.
func (r *run) strike(random *rand.Rand) {
	rule := fault.Rule{Count: 1 + random.IntN(maxStrikes), DelayMs: slowMs}
	var set *fault.Set
	switch random.IntN(4) {
	case 0:
		rule.Kind, set = choose(random, r.faultsOfServices()), r.service()
	case 1:
		rule.Kind, set = choose(random, platformFaults()), r.env.Platform.Faults
	default:
		rule.Kind, set = choose(random, engineFaults()), r.env.Engines[site.Engine(random.IntN(r.options.Engines))].Faults
		rule.AfterPieces = random.IntN(maxStrikes)
	}
	if err := set.Add(rule); err != nil {
		r.violate("fault: %v", err)
	}
}

func choose(random *rand.Rand, kinds []fault.Kind) fault.Kind {
	return kinds[random.IntN(len(kinds))]
}

func (r *run) service() *fault.Set {
	for _, s := range r.env.Services {
		return s.Faults
	}
	return nil
}

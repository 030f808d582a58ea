package soak

import (
	"math/rand/v2"

	"github.com/poplarshore/poplarshore/measure/site"
	"github.com/poplarshore/poplarshore/standin/engine"
	"github.com/poplarshore/poplarshore/standin/fault"
	"github.com/poplarshore/poplarshore/standin/platform"
	"github.com/poplarshore/poplarshore/standin/service"
)

// maxFaultCount is the maximum number of times that one fault is injected. The
// number of pieces before a fault of a stream is below it.
const maxFaultCount = 3

// slowDelayMS is the delay of slow faults, in milliseconds.
const slowDelayMS = 50

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

// enabledServiceFaults returns the kinds of service faults that the options
// enable.
func (r *run) enabledServiceFaults() []fault.Kind {
	kinds := serviceFaults()
	if r.options.SilentServices {
		kinds = append(kinds, service.Stall)
	}
	return kinds
}

func platformFaults() []fault.Kind {
	return []fault.Kind{platform.Unavailable, platform.Slow, platform.ReplyLost, platform.RequestLost, platform.StaleList}
}

// injectFault adds one random fault to one stand-in: with a chance of 1/4 to a
// service, 1/4 to the platform and 1/2 to an engine.
func (r *run) injectFault(random *rand.Rand) {
	rule := fault.Rule{Count: 1 + random.IntN(maxFaultCount), DelayMs: slowDelayMS}
	var set *fault.Set
	switch random.IntN(4) {
	case 0:
		rule.Kind, set = randomKind(random, r.enabledServiceFaults()), r.serviceFaultSet()
	case 1:
		rule.Kind, set = randomKind(random, platformFaults()), r.env.Platform.Faults
	default:
		rule.Kind, set = randomKind(random, engineFaults()), r.env.Engines[site.EngineID(random.IntN(r.options.Engines))].Faults
		rule.AfterPieces = random.IntN(maxFaultCount)
	}
	if err := set.Add(rule); err != nil {
		r.recordViolation("could not add a fault: %v", err)
	}
}

func randomKind(random *rand.Rand, kinds []fault.Kind) fault.Kind {
	return kinds[random.IntN(len(kinds))]
}

// serviceFaultSet returns the faults of the environment's only service.
func (r *run) serviceFaultSet() *fault.Set {
	for _, s := range r.env.Services {
		return s.Faults
	}
	return nil
}

package soak

import (
	"context"
	"math/rand/v2"
	"net/http"

	"github.com/poplarshore/poplarshore/platform/standin"
)

// answersFault lets an engine write faulty answers. It is a kind of its own list, because the seeds
// of regressions depend on the number of faultKinds.
var answersFault = faultKind{"engine_answers", (*injector).spoilAnswers}

// spoiledPercent is the share of its requests that an engine with faulty answers answers so.
const spoiledPercent = 40

// spoilAnswers lets an engine write faulty answers for a while.
func (f *injector) spoilAnswers(ctx context.Context, rng *rand.Rand) {
	e := f.pickEngine(rng)
	defer f.bed.upstreamDisturbances.begin()()
	e.spoilsAnswers.Store(true)
	sleep(ctx, randomDuration(rng))
	e.spoilsAnswers.Store(false)
}

// spoiled returns a faulty answer to the request: a refusal that comes once more on the connection,
// a head that is cut, a stream that breaks off, or an error in place of a resumed stream.
func (e *engine) spoiled(r *http.Request) standin.Behaviour {
	switch {
	case rand.IntN(2) == 0:
		return standin.Behaviour{Raw: standin.CutHead(e.ID)}
	case e.Service != modelService:
		return standin.Behaviour{NotRun: true, Repeated: true, NoID: rand.IntN(2) == 0, Confidence: -1}
	case r.Header.Get("Last-Event-Id") == "":
		return standin.Behaviour{Events: streamEvents, Gap: streamGap, BreakAfter: 1 + rand.IntN(streamEvents-1), Confidence: 90}
	}
	return e.errorAsEvents(r)
}

// errorAsEvents returns an error that is written as a stream of events.
func (e *engine) errorAsEvents(r *http.Request) standin.Behaviour {
	statuses := []string{"200 OK", "400 Bad Request", "500 Internal Server Error"}
	bodies := []string{"", "data: internal error\n\n", "HTTP/1.1 500 Internal Server Error\r\n\r\ninternal error\n\n"}
	body := bodies[rand.IntN(len(bodies))]
	return standin.Behaviour{Raw: standin.RawEvents(r, e.ID, statuses[rand.IntN(len(statuses))], body)}
}

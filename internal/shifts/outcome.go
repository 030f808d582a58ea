package shifts

import (
	"time"

	"github.com/poplarshore/poplarshore/model"
	"github.com/poplarshore/poplarshore/rollout"
	"github.com/poplarshore/poplarshore/rollout/shift"
)

// Attempt describes an attempt at an upstream of a version.
type Attempt struct {
	Service string
	Version model.VersionID
	// Route is the name of the request's route.
	Route string
	// Kind groups attempts that have about the same latency for the same prompt
	// length.
	Kind string
	// PromptTokens is the length of the prompt, in tokens. It is 0 for requests
	// without a prompt, whose whole answer counts as the first event.
	PromptTokens int
	// Load is the number of requests at the upstream, this one included, as far as known; 0 for unknown.
	Load int
}

// Outcome is the result of an attempt that has ended.
type Outcome struct {
	Attempt
	// Failed reports that the attempt failed because of the upstream.
	Failed bool
	// FirstEventLatency is the time to the first event or, if the answer has no events, to
	// the answer. Zero means unknown.
	FirstEventLatency time.Duration
	// NetworkLatency is the part of it that the distance to the upstream takes.
	NetworkLatency time.Duration
	// TypicalGap is the usual time between events. Zero means unknown.
	TypicalGap time.Duration
}

const (
	// silenceFactor is the number of usual gaps, and minSlowSilence the time, that a single
	// gap has to last at least to count as slow. An upstream pauses all streams while it
	// prefills a long prompt.
	silenceFactor  = 20
	minSlowSilence = 800 * time.Millisecond
	// firstEventBase plus firstEventPerToken for each prompt token is the
	// nominal time to the first event.
	firstEventBase     = 80 * time.Millisecond
	firstEventPerToken = 11 * time.Microsecond
	// minProcessing is the minimum time assumed between a request and its first event.
	minProcessing = time.Millisecond
)

// latencyModel estimates the usual latency of one kind of attempt: the time to the
// first event as a multiple of the nominal time, and the time between events in
// seconds.
type latencyModel struct {
	firstEvent, eventGap usualTime
}

// firstEventRatio returns the time to the first event, less the network's share, as a
// multiple of the nominal time for the prompt length; zero if it is unknown.
func (o Outcome) firstEventRatio() float64 {
	if o.FirstEventLatency <= 0 {
		return 0
	}
	processing := max(o.FirstEventLatency-o.NetworkLatency, minProcessing)
	return float64(processing) / float64(firstEventBase+time.Duration(o.PromptTokens)*firstEventPerToken)
}

func (s *serviceState) latencyModel(kind string) *latencyModel {
	latency := s.latencyModels[kind]
	if latency == nil {
		latency = &latencyModel{}
		s.latencyModels[kind] = latency
	}
	return latency
}

// isNewVersion reports whether v is the new version of the current shift.
func (s *serviceState) isNewVersion(v model.VersionID) bool {
	return s.known && v == s.state.Order.To
}

// judge converts an outcome to counts.
func (s *serviceState) judge(o Outcome) shift.Observations {
	return o.observations(s.latencyModel(o.Kind))
}

// learn updates the usual latency by an attempt on another version than the new one, or on that one once it has replaced
// the others.
func (s *serviceState) learn(o Outcome) {
	if s.isNewVersion(o.Version) && s.state.Phase != shift.Complete {
		return
	}
	usual := s.latencyModel(o.Kind)
	usual.firstEvent.add(o.firstEventRatio(), o.Load)
	usual.eventGap.add(o.TypicalGap.Seconds(), o.Load)
}

// speeds returns what the time to the first event and that between events say; speedUnknown of a time that is unknown.
func (o Outcome) speeds(usual *latencyModel) (start, pace speed) {
	if ratio := o.firstEventRatio(); ratio > 0 {
		start = usual.firstEvent.judge(ratio, o.Load)
	}
	if o.TypicalGap > 0 {
		pace = usual.eventGap.judge(o.TypicalGap.Seconds(), o.Load)
	}
	return start, pace
}

// observations converts an outcome to counts. A request without a prompt has no first
// event apart from its answer, whose speed is that of the answer then.
func (o Outcome) observations(usual *latencyModel) shift.Observations {
	var observed shift.Observations
	observed.Answers.Requests = 1
	if o.Failed {
		observed.Answers.Errors = 1
		return observed
	}
	start, pace := o.speeds(usual)
	if o.PromptTokens == 0 && o.TypicalGap == 0 {
		observed.Paced = start.counts()
		return observed
	}
	observed.Started, observed.Paced = start.counts(), pace.counts()
	return observed
}

// counts returns this VM's observations of a version at the current step, and the function that selects its counts on a route.
func (s *serviceState) counts(v model.VersionID) (*shift.Observations, func(*shift.Comparison) *rollout.Counts) {
	switch {
	case s.isNewVersion(v):
		return &s.local.New, func(c *shift.Comparison) *rollout.Counts { return &c.New }
	case s.state.Step == 0:
		return &s.local.Before, func(c *shift.Comparison) *rollout.Counts { return &c.Before }
	default:
		return &s.local.Old, func(c *shift.Comparison) *rollout.Counts { return &c.Old }
	}
}

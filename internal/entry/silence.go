package entry

import "slices"

// maxWaitsOn is how often the time limit for a silent engine starts again while no other engine would take the request.
const maxWaitsOn = 2

// waitOn returns the function that decides whether to wait on for an engine that is silent before its answer: a sound
// engine may be silent for a moment, and an attempt that is given up is lost.
func (s *Server) waitOn(x *Exchange, j *job, a *attempt) func() bool {
	next := *j
	next.tried = append(slices.Clone(j.tried), a.engine.ID)
	waits := 0
	return func() bool {
		if next.cascaded || waits == maxWaitsOn || s.hasSuccessor(x, &next) {
			return false
		}
		waits++
		s.metrics.silencesOutwaited.Inc()
		return true
	}
}

// hasSuccessor reports whether an engine that the job has not tried would take its request.
func (s *Server) hasSuccessor(x *Exchange, j *job) bool {
	index, client, err := s.currentConfig(x)
	if err != nil {
		return false
	}
	refs, err := s.allowedVersions(index, client, j)
	if err != nil {
		return false
	}
	requirements := j.requirements(client)
	for _, ref := range refs {
		requirements.Ref = ref
		if s.Placement.Choose(index, requirements) != nil {
			return true
		}
	}
	return false
}

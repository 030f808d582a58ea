package soak

import (
	"context"

	"github.com/poplarshore/poplarshore/measure/caller"
	"github.com/poplarshore/poplarshore/measure/site"
	"github.com/poplarshore/poplarshore/model"
)

// sessionCount is the number of callers that keep a session.
const sessionCount = 32

const (
	headerSession = "Poplarshore-Session"
	headerVersion = "Poplarshore-Version"
	beginSession  = "new"
)

// session is a caller's session and the version that it began on.
type session struct {
	token, version string
}

// sendInSession asks within a session, which the first request begins.
func (r *run) sendInSession(ctx context.Context, c *caller.Caller, slot int, t *told) error {
	r.mu.Lock()
	kept := r.sessions[slot]
	r.mu.Unlock()
	question := caller.Question{Model: site.Model, Prompt: t.prompt, Session: kept.token}
	if kept.token == "" {
		question.Session = beginSession
	}
	t.pinned = kept.version
	var err error
	t.answer, err = c.Ask(ctx, question)
	if err != nil || kept.token != "" {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sessions[slot].token == "" {
		r.sessions[slot] = session{token: t.answer.Header.Get(headerSession), version: t.answer.Header.Get(headerVersion)}
	}
	return nil
}

// flip makes the other version current. A change that the store does not take
// is left out.
func (r *run) flip(number int) {
	r.turn.Lock()
	defer r.turn.Unlock()
	current := model.VersionID(site.Version)
	if number%2 == 1 {
		current = site.NextVersion
	}
	text, err := site.Document(r.options.site(), current)
	if err != nil {
		r.violate("document: %v", err)
		return
	}
	if r.env.Publish(text) == nil {
		r.mu.Lock()
		r.report.Changes++
		r.mu.Unlock()
	}
}

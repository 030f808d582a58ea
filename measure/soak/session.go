package soak

import (
	"context"

	"github.com/poplarshore/poplarshore/measure/caller"
	"github.com/poplarshore/poplarshore/measure/site"
	"github.com/poplarshore/poplarshore/model"
)

// sessionSlots is the number of sessions that run at the same time.
const sessionSlots = 32

const (
	headerSession = "Poplarshore-Session"
	headerVersion = "Poplarshore-Version"
	// newSessionToken requests a new session.
	newSessionToken = "new"
)

// session is a session's token and the version that it is pinned to. Both are
// empty before the session has been started.
type session struct {
	token, version string
}

// sendInSession sends a completion request in the session of a slot. The first
// complete response starts the session.
func (r *run) sendInSession(ctx context.Context, client *caller.Client, slot int, record *requestRecord) error {
	r.mu.Lock()
	current := r.sessions[slot]
	r.mu.Unlock()
	request := caller.Request{Model: site.Model, Prompt: record.prompt, Session: current.token}
	if current.token == "" {
		request.Session = newSessionToken
	}
	record.pinnedVersion = current.version
	var err error
	record.response, err = client.Complete(ctx, request)
	if err != nil || current.token != "" {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sessions[slot].token == "" {
		r.sessions[slot] = session{token: record.response.Header.Get(headerSession), version: record.response.Header.Get(headerVersion)}
	}
	return nil
}

// switchVersion publishes a document with the other current version: NextVersion
// if sequence is odd. A change that the store doesn't accept is not retried.
func (r *run) switchVersion(sequence int) {
	r.disruptionMu.Lock()
	defer r.disruptionMu.Unlock()
	current := model.VersionID(site.Version)
	if sequence%2 == 1 {
		current = site.NextVersion
	}
	text, err := site.Document(r.options.site(), current)
	if err != nil {
		r.recordViolation("could not build the document: %v", err)
		return
	}
	if r.env.Publish(text) == nil {
		r.mu.Lock()
		r.report.Changes++
		r.mu.Unlock()
	}
}

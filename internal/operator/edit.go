package operator

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/account"
	"github.com/poplarshore/poplarshore/coord/revision"
	"github.com/poplarshore/poplarshore/document"
	"github.com/poplarshore/poplarshore/document/edit"
	"github.com/poplarshore/poplarshore/internal/peer"
)

// maxEditAttempts is how often an edit is applied if other operators change the document
// at the same time.
const maxEditAttempts = 5

// installPollInterval is the interval between checks of the installed revision.
const installPollInterval = 20 * time.Millisecond

// edit applies a small change to the document in force, whichever revision that is, and
// publishes the result. Edits are idempotent, so one with an unknown outcome can be
// repeated.
func (s *Server) edit(w http.ResponseWriter, r *http.Request) {
	var e edit.Edit
	if !peer.ReadJSON(w, r, &e) {
		return
	}
	if e.Takeover != nil {
		e.Takeover.At = s.opts.Clock.Now()
	}
	accepted, err := s.applyEdit(r.Context(), e, r.Header.Get(HeaderOperation), r.Header.Get(HeaderAuthor))
	switch {
	case err == nil:
		peer.WriteJSON(w, accepted)
	case errorx.IsOfType(err, edit.ErrNotFound):
		writeError(w, http.StatusNotFound, Problem{Code: "not_found", Message: err.Error()})
	case errorx.IsOfType(err, edit.ErrInvalid):
		writeError(w, http.StatusUnprocessableEntity, Problem{Code: "invalid_edit", Message: err.Error()})
	default:
		writeProposeError(w, err)
	}
}

// applyEdit applies an edit to the document in force and publishes the result. After a
// conflict it waits for the conflicting revision and applies the edit to that. Each
// attempt has its own operation ID, as the proposed document differs.
func (s *Server) applyEdit(ctx context.Context, e edit.Edit, operationID, author string) (Acceptance, error) {
	var conflictErr error
	for attempt := range maxEditAttempts {
		rev, body := s.opts.Node.Current()
		next, err := edit.Apply(body, e)
		if err != nil {
			return Acceptance{}, err
		}
		if document.Hash(next) == string(rev.Hash) {
			return Acceptance{Revision: rev, Repeated: true}, nil
		}
		accepted, err := s.opts.Publisher.Propose(ctx, rev.Number, next, operationID+"/"+strconv.Itoa(attempt), author)
		if err == nil {
			return Acceptance{Revision: accepted.Revision, Repeated: accepted.Repeated}, nil
		}
		other, conflict := revision.ConflictOf(err)
		if !conflict || !s.awaitInstalled(ctx, other.Number) {
			return Acceptance{}, err
		}
		conflictErr = err
	}
	return Acceptance{}, conflictErr
}

// awaitInstalled waits until this VM has installed the revision or a later one. It returns
// false if the context ends before.
func (s *Server) awaitInstalled(ctx context.Context, number uint64) bool {
	for {
		if rev, _ := s.opts.Node.Current(); rev.Number >= number {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-s.opts.Clock.After(installPollInterval):
		}
	}
}

// history serves the newest revisions, oldest first.
func (s *Server) history(w http.ResponseWriter, r *http.Request) {
	revisions, err := s.opts.History(r.Context())
	if err != nil {
		writeProposeError(w, err)
		return
	}
	peer.WriteJSON(w, revisions)
}

// ledger serves the ledger's totals of a client account.
func (s *Server) ledger(w http.ResponseWriter, r *http.Request) {
	totals, err := s.opts.Totals(r.Context(), account.ID(r.PathValue("account")))
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, Problem{Code: "store_unavailable", Message: "The totals can't be read."})
		return
	}
	peer.WriteJSON(w, totals)
}

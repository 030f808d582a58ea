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

// editTries bounds how often an edit is made anew after other operators
// changed the document.
const editTries = 5

// awaitPoll is the time between two looks at the installed revision.
const awaitPoll = 20 * time.Millisecond

// edit makes a small change to the document in force, whatever it is by now.
// Edits are idempotent, so one whose outcome is unknown may be repeated.
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

func (s *Server) applyEdit(ctx context.Context, e edit.Edit, op, author string) (Acceptance, error) {
	var last error
	for try := range editTries {
		rev, body := s.opts.Node.Current()
		next, err := edit.Apply(body, e)
		if err != nil {
			return Acceptance{}, err
		}
		if document.Hash(next) == string(rev.Hash) {
			return Acceptance{Revision: rev, Repeated: true}, nil
		}
		accepted, err := s.opts.Publisher.Propose(ctx, rev.Number, next, op+"/"+strconv.Itoa(try), author)
		if err == nil {
			return Acceptance{Revision: accepted.Revision, Repeated: accepted.Repeated}, nil
		}
		other, conflict := revision.ConflictOf(err)
		if !conflict || !s.await(ctx, other.Number) {
			return Acceptance{}, err
		}
		last = err
	}
	return Acceptance{}, last
}

// await waits until this VM has installed the revision.
func (s *Server) await(ctx context.Context, number uint64) bool {
	for {
		if rev, _ := s.opts.Node.Current(); rev.Number >= number {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-s.opts.Clock.After(awaitPoll):
		}
	}
}

func (s *Server) history(w http.ResponseWriter, r *http.Request) {
	revisions, err := s.opts.History(r.Context())
	if err != nil {
		writeProposeError(w, err)
		return
	}
	peer.WriteJSON(w, revisions)
}

func (s *Server) ledger(w http.ResponseWriter, r *http.Request) {
	totals, err := s.opts.Totals(r.Context(), account.ID(r.PathValue("account")))
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, Problem{Code: "store_unavailable", Message: "The totals can't be read."})
		return
	}
	peer.WriteJSON(w, totals)
}

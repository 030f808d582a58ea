package operator

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/coord/revision"
	"github.com/poplarshore/poplarshore/document"
	"github.com/poplarshore/poplarshore/internal/peer"
	"github.com/poplarshore/poplarshore/strictjson"
)

// Header fields of requests and responses.
const (
	// HeaderBase is the number of the revision that a proposal is based on.
	HeaderBase = "Poplarshore-Base"
	// HeaderOperation is the operation ID of a change. A repeated request with the same
	// ID takes effect only once.
	HeaderOperation = "Poplarshore-Operation"
	// HeaderAuthor is the name of the operator.
	HeaderAuthor = "Poplarshore-Author"
	// HeaderRevision is the revision number of the document in the response.
	HeaderRevision = "Poplarshore-Revision"
	// HeaderHash is the hash of the document in the response.
	HeaderHash = "Poplarshore-Hash"
	// HeaderProof is the trial environment's signature of a document.
	HeaderProof = "Poplarshore-Proof"
	// HeaderReinstate lists the withdrawn versions that a document may reinstate, as
	// model@version, separated by commas.
	HeaderReinstate = "Poplarshore-Reinstate"
)

// Problem is the body of an error response.
type Problem struct {
	// Code identifies the kind of error.
	Code    string `json:"code"`
	Message string `json:"message"`
	// Faults are the faults of an invalid document.
	Faults strictjson.Faults `json:"faults,omitempty"`
	// Conflicting is the revision that was accepted instead of the proposed one.
	Conflicting *revision.Revision `json:"other,omitempty"`
}

// Acceptance is the response to an accepted proposal or edit.
type Acceptance struct {
	Revision revision.Revision `json:"revision"`
	// Repeated reports whether the operation had been accepted before, or an edit changes
	// nothing.
	Repeated bool `json:"repeated"`
}

func writeError(w http.ResponseWriter, status int, p Problem) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	peer.WriteJSON(w, p)
}

// document serves the document in force, signed if this is the trial environment.
func (s *Server) document(w http.ResponseWriter, _ *http.Request) {
	rev, body := s.opts.Node.Current()
	if rev.Number == 0 {
		writeError(w, http.StatusNotFound, Problem{Code: "no_document", Message: "This environment has no document yet."})
		return
	}
	w.Header().Set(HeaderRevision, strconv.FormatUint(rev.Number, 10))
	w.Header().Set(HeaderHash, string(rev.Hash))
	w.Header().Set(HeaderProof, s.opts.Promotion.sign(string(rev.Hash)))
	_, _ = w.Write(body)
}

// propose publishes the document in the body as the next revision. It rejects documents
// that are invalid, lack the trial environment's signature in production, or reinstate a
// withdrawn version that the request does not list.
func (s *Server) propose(w http.ResponseWriter, r *http.Request) {
	base, err := strconv.ParseUint(r.Header.Get(HeaderBase), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, Problem{Code: "bad_base", Message: HeaderBase + " must be a revision number."})
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		writeReadError(w, err)
		return
	}
	doc, faults := document.Check(body)
	if len(faults) > 0 {
		writeError(w, http.StatusUnprocessableEntity, Problem{Code: "invalid_document", Message: "The document has faults.", Faults: faults})
		return
	}
	if !s.opts.Promotion.verify(document.Hash(body), r.Header.Get(HeaderProof)) {
		writeError(w, http.StatusForbidden, Problem{Code: "not_tried", Message: "Production takes only documents that the trial environment accepted; use promote."})
		return
	}
	if withdrawn := s.unlistedReinstatement(doc, r.Header.Get(HeaderReinstate)); withdrawn != "" {
		writeError(w, http.StatusConflict, Problem{Code: "reinstates_version", Message: "The document takes version " + withdrawn + " back into service, which was withdrawn; name it as reinstated if that is meant."})
		return
	}
	accepted, err := s.opts.Publisher.Propose(r.Context(), base, body, r.Header.Get(HeaderOperation), r.Header.Get(HeaderAuthor))
	if err != nil {
		writeProposeError(w, err)
		return
	}
	peer.WriteJSON(w, Acceptance{Revision: accepted.Revision, Repeated: accepted.Repeated})
}

// writeReadError writes the response to a request whose body could not be read.
func writeReadError(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeError(w, http.StatusRequestEntityTooLarge, Problem{Code: "too_large", Message: "The document is too large."})
		return
	}
	writeError(w, http.StatusBadRequest, Problem{Code: "truncated_body", Message: "The document could not be read to its end."})
}

// writeProposeError writes the response to an error of Publisher.Propose.
func writeProposeError(w http.ResponseWriter, err error) {
	switch {
	case errorx.IsOfType(err, revision.ErrConflict):
		p := Problem{Code: "conflict", Message: "Another operator changed the document first."}
		if other, ok := revision.ConflictOf(err); ok {
			p.Conflicting = &other
		}
		writeError(w, http.StatusConflict, p)
	case errorx.IsOfType(err, revision.ErrUnknown):
		writeError(w, http.StatusGatewayTimeout, Problem{Code: "unknown", Message: "The document may or may not have been accepted. Repeat with the same operation id."})
	case errorx.IsOfType(err, revision.ErrInvalid):
		writeError(w, http.StatusBadRequest, Problem{Code: "invalid_operation", Message: err.Error()})
	default:
		writeError(w, http.StatusServiceUnavailable, Problem{Code: "store_unavailable", Message: "The platform's store did not answer; nothing was accepted."})
	}
}

// inForce serves which VMs have confirmed a revision. The time of acceptance is that of the
// installed revision if it is not older, otherwise now: its true time is then unknown
// here, and now is the latest possible time.
func (s *Server) inForce(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.ParseUint(r.PathValue("number"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, Problem{Code: "bad_number", Message: "The revision must be a number."})
		return
	}
	now := s.opts.Clock.Now()
	accepted := now
	if rev, _ := s.opts.Node.Current(); rev.Number >= number {
		accepted = rev.Time
	}
	peer.WriteJSON(w, s.opts.Node.InForce(number, accepted, now))
}

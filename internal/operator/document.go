package operator

import (
	"io"
	"net/http"
	"strconv"

	"github.com/joomcode/errorx"

	"github.com/poplarshore/poplarshore/coord/revision"
	"github.com/poplarshore/poplarshore/document"
	"github.com/poplarshore/poplarshore/internal/peer"
	"github.com/poplarshore/poplarshore/strictjson"
)

// Headers of operators' requests and answers.
const (
	// HeaderBase carries the revision that a proposal follows.
	HeaderBase = "Poplarshore-Base"
	// HeaderOperation carries the id of an operation; repeating it is safe.
	HeaderOperation = "Poplarshore-Operation"
	// HeaderAuthor names the operator.
	HeaderAuthor = "Poplarshore-Author"
	// HeaderRevision carries the revision of a document sent.
	HeaderRevision = "Poplarshore-Revision"
	// HeaderHash carries the hash of a document sent.
	HeaderHash = "Poplarshore-Hash"
	// HeaderProof carries the trial environment's signature of a document.
	HeaderProof = "Poplarshore-Proof"
	// HeaderReinstate lists withdrawn versions that a document may take back
	// into service, separated by commas.
	HeaderReinstate = "Poplarshore-Reinstate"
)

// Problem is the body of an error answer.
type Problem struct {
	Code    string            `json:"code"`
	Message string            `json:"message"`
	Faults  strictjson.Faults `json:"faults,omitempty"`
	// Other is the revision that a proposal lost against.
	Other *revision.Revision `json:"other,omitempty"`
}

// Acceptance tells that a proposal was accepted.
type Acceptance struct {
	Revision revision.Revision `json:"revision"`
	// Repeated tells that the operation had been accepted before.
	Repeated bool `json:"repeated"`
}

func writeError(w http.ResponseWriter, status int, p Problem) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	peer.WriteJSON(w, p)
}

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

func (s *Server) propose(w http.ResponseWriter, r *http.Request) {
	base, err := strconv.ParseUint(r.Header.Get(HeaderBase), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, Problem{Code: "bad_base", Message: HeaderBase + " must be a revision number."})
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, Problem{Code: "too_large", Message: "The document is too large."})
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
	if lost := s.reinstated(doc, r.Header.Get(HeaderReinstate)); lost != "" {
		writeError(w, http.StatusConflict, Problem{Code: "reinstates_version", Message: "The document takes version " + lost + " back into service, which was withdrawn; name it as reinstated if that is meant."})
		return
	}
	accepted, err := s.opts.Publisher.Propose(r.Context(), base, body, r.Header.Get(HeaderOperation), r.Header.Get(HeaderAuthor))
	if err != nil {
		writeProposeError(w, err)
		return
	}
	peer.WriteJSON(w, Acceptance{Revision: accepted.Revision, Repeated: accepted.Repeated})
}

func writeProposeError(w http.ResponseWriter, err error) {
	switch {
	case errorx.IsOfType(err, revision.ErrConflict):
		p := Problem{Code: "conflict", Message: "Another operator changed the document first."}
		if other, ok := revision.ConflictOf(err); ok {
			p.Other = &other
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

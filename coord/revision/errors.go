package revision

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("revision")

var (
	// ErrConflict reports that the head is not at the base of the proposal,
	// usually because another proposal moved it first. The proposal was not
	// accepted. ConflictOf returns the revision at the head; to try again, base
	// the document on it.
	ErrConflict = namespace.NewType("conflict")
	// ErrUnknown reports that the proposal may or may not have been accepted.
	// Proposing again with the same base, body and operation id returns the
	// outcome, as long as the head row lists all revisions after the base (it
	// lists the newest 65).
	ErrUnknown = namespace.NewType("unknown", errorx.Timeout())
	// ErrUnavailable reports that the store could not be reached. A proposal
	// that returns it was not accepted and may be repeated.
	ErrUnavailable = namespace.NewType("unavailable", errorx.Temporary())
	// ErrInvalid reports an invalid argument: an empty operation id, or one that
	// was already used for another document.
	ErrInvalid = namespace.NewType("invalid")
	// ErrCorrupt reports a stored body that does not match its hash, or a head
	// row that can't be decoded.
	ErrCorrupt = namespace.NewType("corrupt")
)

var conflictProperty = errorx.RegisterProperty("conflicting_revision")

// ConflictOf returns the revision that was at the head when a proposal failed with
// ErrConflict. It returns false for every other error.
func ConflictOf(err error) (Revision, bool) {
	value, ok := errorx.ExtractProperty(err, conflictProperty)
	if !ok {
		return Revision{}, false
	}
	other, ok := value.(Revision)
	return other, ok
}

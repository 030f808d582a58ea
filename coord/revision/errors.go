package revision

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("revision")

var (
	// ErrConflict reports that another proposal moved the head first. The
	// proposal was not accepted. ConflictOf returns the other revision.
	ErrConflict = namespace.NewType("conflict")
	// ErrUnknown reports that the proposal may or may not have been accepted.
	// Proposing again with the same operation id settles it.
	ErrUnknown = namespace.NewType("unknown", errorx.Timeout())
	// ErrUnavailable reports that the store was not reached. The proposal was
	// not accepted.
	ErrUnavailable = namespace.NewType("unavailable", errorx.Temporary())
	// ErrInvalid reports a malformed argument, such as an operation id that was
	// used for another document.
	ErrInvalid = namespace.NewType("invalid")
	// ErrCorrupt reports a body that does not match its hash or an unreadable
	// head row.
	ErrCorrupt = namespace.NewType("corrupt")
)

var conflictProperty = errorx.RegisterProperty("conflicting_revision")

// ConflictOf returns the revision that a proposal lost against.
func ConflictOf(err error) (Revision, bool) {
	value, ok := errorx.ExtractProperty(err, conflictProperty)
	if !ok {
		return Revision{}, false
	}
	other, ok := value.(Revision)
	return other, ok
}

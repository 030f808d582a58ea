package ledger

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("ledger")

var (
	// ErrBacklogFull reports that too much is waiting for the store. The entry
	// was not recorded.
	ErrBacklogFull = namespace.NewType("backlog_full", errorx.Temporary())
	// ErrPending reports that the caller stopped waiting. The entry is in the
	// backlog and will be written.
	ErrPending = namespace.NewType("pending", errorx.Timeout())
	// ErrClosed reports that the writer takes no more entries. The entry was not
	// recorded.
	ErrClosed = namespace.NewType("closed")
	// ErrInvalid reports a malformed entry, segment or setting. Nothing was recorded.
	ErrInvalid = namespace.NewType("invalid")
	// ErrTaken reports that another process uses the incarnation. The entries of
	// the segment were not recorded; Writer.Unwritten returns them.
	ErrTaken = namespace.NewType("incarnation_taken")
	// ErrCorrupt reports an object or row that can't be read as what it should be.
	ErrCorrupt = namespace.NewType("corrupt")
	// ErrUnavailable reports that the store was not reached. A settler resumes
	// where it was.
	ErrUnavailable = namespace.NewType("unavailable", errorx.Temporary())
	// ErrFenced reports that a settler with a higher fencing token is at work.
	ErrFenced = namespace.NewType("fenced")
	// ErrContended reports that a row kept changing during every try.
	ErrContended = namespace.NewType("contended", errorx.Temporary())
)

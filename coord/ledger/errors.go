package ledger

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("ledger")

var (
	// ErrBacklogFull reports that the backlog of a Writer, or the copies of a Holder, have reached
	// their limit. The entry or copy was not accepted; the caller may retry later.
	ErrBacklogFull = namespace.NewType("backlog_full", errorx.Temporary())
	// ErrPending reports that the caller's context ended before the commit. The entry is in the
	// backlog and is committed later, unless the process ends first; it need not be appended again.
	ErrPending = namespace.NewType("pending", errorx.Timeout())
	// ErrClosed reports an Append after Writer.Close. The entry was not recorded.
	ErrClosed = namespace.NewType("closed")
	// ErrInvalid reports a malformed entry, row value or option. Nothing was recorded; a retry
	// fails again.
	ErrInvalid = namespace.NewType("invalid")
	// ErrIncarnationTaken reports that another process writes under the same incarnation. The
	// Writer has stopped and its uncommitted entries were not recorded; Writer.Unwritten returns
	// them, and the caller can append them to a Writer with another incarnation.
	ErrIncarnationTaken = namespace.NewType("incarnation_taken")
	// ErrCorrupt reports an object or row that cannot be decoded or fails its checksum.
	ErrCorrupt = namespace.NewType("corrupt")
	// ErrUnavailable reports that a store operation failed or has an unknown outcome. The caller
	// may repeat the call: settlers continue where they stopped.
	ErrUnavailable = namespace.NewType("unavailable", errorx.Temporary())
	// ErrFenced reports that a settler with a higher fencing token has written. This settler's
	// lease is over, and the caller must stop it.
	ErrFenced = namespace.NewType("fenced")
	// ErrContended reports that a row changed during each of 8 attempts to read or update it. The
	// caller may repeat the call.
	ErrContended = namespace.NewType("contended", errorx.Temporary())
)

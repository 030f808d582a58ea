package order

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("order")

var (
	// ErrFenced reports that the engine has seen a higher fencing token. The
	// order was not carried out.
	ErrFenced = namespace.NewType("fenced")
	// ErrRefused reports that the engine did not take the order, for instance
	// for want of memory.
	ErrRefused = namespace.NewType("refused")
	// ErrThrottled reports that the weight store refused the load for now.
	ErrThrottled = namespace.NewType("throttled", errorx.Temporary())
	// ErrUnknown reports that the engine may or may not have taken the order.
	ErrUnknown = namespace.NewType("unknown", errorx.Timeout())
	// ErrUnavailable reports that the engine's state could not be read.
	ErrUnavailable = namespace.NewType("unavailable", errorx.Temporary())
	// ErrOptions reports options that contradict each other.
	ErrOptions = namespace.NewType("options")
)

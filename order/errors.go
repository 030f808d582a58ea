package order

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("order")

// Errors of engines and options.
var (
	// ErrFenced reports that the engine has seen a higher fencing token. The order was
	// not applied.
	ErrFenced = namespace.NewType("fenced")
	// ErrRefused reports that the engine rejected the order, for instance because of
	// insufficient memory. The order was not applied.
	ErrRefused = namespace.NewType("refused")
	// ErrThrottled reports that the weight store rejected the load for now. The order
	// was not applied.
	ErrThrottled = namespace.NewType("throttled", errorx.Temporary())
	// ErrUnknown reports that the engine may or may not have applied the order.
	ErrUnknown = namespace.NewType("unknown", errorx.Timeout())
	// ErrUnavailable reports that the engine's state could not be read.
	ErrUnavailable = namespace.NewType("unavailable", errorx.Temporary())
	// ErrOptions reports missing, invalid or inconsistent options.
	ErrOptions = namespace.NewType("options")
)

package memory

import (
	"context"

	"github.com/poplarshore/poplarshore/coord/store"
)

// Op names a storage operation.
type Op string

// The storage operations.
const (
	OpGet    Op = "get"
	OpInsert Op = "insert"
	OpUpdate Op = "update"
	OpDelete Op = "delete"
	OpScan   Op = "scan"
	OpCreate Op = "create"
	OpList   Op = "list"
)

// Fault is what happens to one operation.
type Fault int

// The faults.
const (
	// None lets the operation pass.
	None Fault = iota
	// Down refuses the operation without effect.
	Down
	// ReplyLost applies a write and reports ErrUnknown; a read fails as if down.
	ReplyLost
	// RequestLost drops a write and reports ErrUnknown; a read fails as if down.
	RequestLost
	// Late reports ErrUnknown and holds a write back until Table.Deliver; a read
	// fails as if down. Objects drop the write.
	Late
	// Twice applies a write two times and returns the reply to the second.
	Twice
)

// Counter counts operations that reached the store.
type Counter struct {
	Reads  uint64
	Writes uint64
}

// Injector decides the fault of one operation. It may block to delay the
// operation, and must honour ctx while it does.
type Injector func(ctx context.Context, op Op, key string) Fault

func orNone(i Injector) Injector {
	if i == nil {
		return func(context.Context, Op, string) Fault { return None }
	}
	return i
}

func (i Injector) read(ctx context.Context, op Op, key string) error {
	fault := i(ctx, op, key)
	if ctx.Err() != nil {
		return store.ErrUnavailable.Wrap(ctx.Err(), "%s %q", op, key)
	}
	if fault != None && fault != Twice {
		return store.ErrUnavailable.New("%s %q: injected fault", op, key)
	}
	return nil
}

func (i Injector) write(ctx context.Context, op Op, key string, apply func() error, holdBack func(func() error)) error {
	fault := i(ctx, op, key)
	if ctx.Err() != nil {
		return store.ErrUnknown.Wrap(ctx.Err(), "%s %q", op, key)
	}
	switch fault {
	case Down:
		return store.ErrUnavailable.New("%s %q: injected fault", op, key)
	case RequestLost:
		return store.ErrUnknown.New("%s %q: injected lost request", op, key)
	case ReplyLost:
		if err := apply(); err != nil {
			return store.ErrUnknown.Wrap(err, "%s %q: injected lost reply", op, key)
		}
		return store.ErrUnknown.New("%s %q: injected lost reply", op, key)
	case Late:
		holdBack(apply)
		return store.ErrUnknown.New("%s %q: injected delay", op, key)
	case Twice:
		_ = apply()
		return apply()
	default:
		return apply()
	}
}

// drop is the way of stores that hold no writes back.
func drop(func() error) {}

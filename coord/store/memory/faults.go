package memory

import (
	"context"

	"github.com/poplarshore/poplarshore/coord/store"
)

// Op is the name of a storage operation.
type Op string

// Operations of Table and Objects.
const (
	OpGet    Op = "get"
	OpInsert Op = "insert"
	OpUpdate Op = "update"
	OpDelete Op = "delete"
	OpScan   Op = "scan"
	OpCreate Op = "create"
	OpList   Op = "list"
)

// Fault is a fault injected into one operation.
type Fault int

// Faults that an Injector can return.
const (
	// None performs the operation normally.
	None Fault = iota
	// Down fails the operation with ErrUnavailable and without effect.
	Down
	// ReplyLost applies a write and returns ErrUnknown. A read fails as with Down.
	ReplyLost
	// RequestLost discards a write and returns ErrUnknown. A read fails as with Down.
	RequestLost
	// Late returns ErrUnknown and delays a write until Table.Deliver. A read fails as
	// with Down. Objects discards the write.
	Late
	// Twice applies a write twice and returns the result of the second application.
	// A read is performed normally.
	Twice
)

// Counter is the number of operations that reached the stored data. A write that is
// applied twice counts twice, and one that is lost or still delayed doesn't count.
type Counter struct {
	Reads  uint64
	Writes uint64
}

// Injector returns the fault for one operation; key is the prefix for OpScan and
// OpList. It is called before the operation, concurrently for concurrent operations.
// It may block to delay the operation, but must return when ctx is cancelled.
// If ctx is cancelled when it returns, a read fails with ErrUnavailable and a write
// with ErrUnknown, without effect.
type Injector func(ctx context.Context, op Op, key string) Fault

// orNoFaults returns i, or an injector of no faults if i is nil.
func orNoFaults(i Injector) Injector {
	if i == nil {
		return func(context.Context, Op, string) Fault { return None }
	}
	return i
}

// read returns the error of a read, or nil if it should be performed.
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

// write performs a write with the fault that i returns. It passes apply to delay if the
// fault is Late.
func (i Injector) write(ctx context.Context, op Op, key string, apply func() error, delay func(func() error)) error {
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
		delay(apply)
		return store.ErrUnknown.New("%s %q: injected delay", op, key)
	case Twice:
		_ = apply()
		return apply()
	default:
		return apply()
	}
}

// discard drops a delayed write. It is used by stores without delayed delivery.
func discard(func() error) {}

package memory

import (
	"bytes"
	"context"
	"sync"

	"github.com/poplarshore/poplarshore/coord/store"
)

// Objects is an in-memory store.Objects whose listings never lag. Create it with
// NewObjects.
type Objects struct {
	// Faults selects the fault of each operation. Nil means no faults. It must not be
	// changed during an operation.
	Faults Injector

	mu      sync.Mutex
	bodies  map[string][]byte
	counter Counter
}

// NewObjects returns an empty object store.
func NewObjects() *Objects {
	return &Objects{bodies: make(map[string][]byte)}
}

// Counts returns the number of operations that have reached the objects.
func (o *Objects) Counts() Counter {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.counter
}

// Create implements store.Objects.
func (o *Objects) Create(ctx context.Context, key string, body []byte) error {
	return orNoFaults(o.Faults).write(ctx, OpCreate, key, func() error {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.counter.Writes++
		if _, ok := o.bodies[key]; ok {
			return store.ErrExists.New("object %q already exists", key)
		}
		o.bodies[key] = bytes.Clone(body)
		return nil
	}, discard)
}

// Get implements store.Objects.
func (o *Objects) Get(ctx context.Context, key string) ([]byte, error) {
	if err := orNoFaults(o.Faults).read(ctx, OpGet, key); err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counter.Reads++
	body, ok := o.bodies[key]
	if !ok {
		return nil, store.ErrNotFound.New("object %q does not exist", key)
	}
	return bytes.Clone(body), nil
}

// List implements store.Objects.
func (o *Objects) List(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	if err := orNoFaults(o.Faults).read(ctx, OpList, prefix); err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counter.Reads++
	return pageKeys(o.bodies, prefix, after, limit), nil
}

// Delete implements store.Objects.
func (o *Objects) Delete(ctx context.Context, key string) error {
	return orNoFaults(o.Faults).write(ctx, OpDelete, key, func() error {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.counter.Writes++
		delete(o.bodies, key)
		return nil
	}, discard)
}

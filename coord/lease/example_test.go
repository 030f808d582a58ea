package lease_test

import (
	"context"
	"fmt"

	"github.com/poplarshore/poplarshore/coord/lease"
	"github.com/poplarshore/poplarshore/coord/store/memory"
)

func Example() {
	manager, err := lease.New(memory.NewTable(), "vm-1", lease.Options{})
	if err != nil {
		fmt.Println(err)
		return
	}
	settle := func(_ context.Context, l *lease.Lease) error {
		if err := l.Check(); err != nil {
			return err
		}
		fmt.Println("settling with fencing token", l.Fence())
		return nil
	}
	for range 2 {
		if err := manager.Run(context.Background(), "settle", settle); err != nil {
			fmt.Println(err)
		}
	}
	// Output:
	// settling with fencing token 1
	// settling with fencing token 2
}

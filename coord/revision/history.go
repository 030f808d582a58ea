package revision

import (
	"context"

	"github.com/poplarshore/poplarshore/coord/store"
)

// ReadHead reads the head row: the newest revision and the ones before it. A
// head with number 0 stands for no document. Errors: ErrUnavailable, ErrCorrupt.
func ReadHead(ctx context.Context, table store.Table, prefix string) (Head, error) {
	head, _, err := readHead(ctx, table, headKey(prefix))
	return head, err
}

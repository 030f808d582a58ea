package revision

import (
	"context"

	"github.com/poplarshore/poplarshore/coord/store"
)

// ReadHead reads the head row: the newest revision and the ones before it. The
// prefix is the one given to the Publisher. If no document has been accepted yet,
// it returns the zero Head, whose number is 0. Errors: ErrUnavailable, ErrCorrupt.
func ReadHead(ctx context.Context, table store.Table, prefix string) (Head, error) {
	head, _, err := readHead(ctx, table, headKey(prefix))
	return head, err
}

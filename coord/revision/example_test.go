package revision_test

import (
	"context"
	"fmt"

	"github.com/poplarshore/poplarshore/coord/revision"
	"github.com/poplarshore/poplarshore/coord/store/memory"
)

func Example() {
	ctx := context.Background()
	table, objects := memory.NewTable(), memory.NewObjects()
	publisher := revision.NewPublisher(revision.PublisherOptions{Table: table, Objects: objects, Prefix: "env"})

	accepted, err := publisher.Propose(ctx, 0, []byte("one"), "op-1", "ana")
	fmt.Println(accepted.Revision.Number, err)

	_, err = publisher.Propose(ctx, 0, []byte("two"), "op-2", "wei")
	other, _ := revision.ConflictOf(err)
	fmt.Println("lost against", other.OpID, "by", other.Author)
	// Output:
	// 1 <nil>
	// lost against op-1 by ana
}

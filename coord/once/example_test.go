package once_test

import (
	"context"
	"fmt"

	"github.com/poplarshore/poplarshore/coord/once"
	"github.com/poplarshore/poplarshore/coord/store/memory"
)

func Example() {
	ctx := context.Background()
	claims, err := once.New(memory.NewTable(), "vm-1", once.Options{})
	if err != nil {
		fmt.Println(err)
		return
	}
	key := once.Key{Account: "works", ID: "4711"}
	for range 2 {
		outcome, err := claims.Claim(ctx, key, "sha256:ab12")
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Printf("%v %q\n", outcome.Status, outcome.Result)
		if outcome.Status == once.Claimed {
			err = outcome.Claim.Complete(ctx, []byte("permit 12"))
		}
		if err != nil {
			fmt.Println(err)
		}
	}
	// Output:
	// claimed ""
	// done "permit 12"
}

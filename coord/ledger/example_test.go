package ledger_test

import (
	"context"
	"fmt"
	"time"

	"github.com/poplarshore/poplarshore/coord/ledger"
	"github.com/poplarshore/poplarshore/coord/store/memory"
)

func Example() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	table, objects := memory.NewTable(), memory.NewObjects()
	writer, _ := ledger.NewWriter(ledger.WriterOptions{Objects: objects, Prefix: "env", Incarnation: "vm-1.a"})
	go func() { _ = writer.Run(ctx) }()

	entry := ledger.Entry{RequestID: "r1", Account: "quarry", Amount: 1200, Time: time.Now()}
	fmt.Println(writer.Append(ctx, entry))
	fmt.Println(writer.Append(ctx, entry)) // a duplicate: counts once
	fmt.Println(writer.Close(ctx))

	settler := ledger.NewSettler(ledger.SettlerOptions{Table: table, Objects: objects, Prefix: "env", Fence: 1})
	_, err := settler.Settle(ctx)
	totals, _ := settler.Totals(ctx, "quarry")
	fmt.Println(err, totals.Requests, totals.Amount)
	// Output:
	// <nil>
	// <nil>
	// <nil>
	// <nil> 1 1200
}

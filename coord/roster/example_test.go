package roster_test

import (
	"fmt"
	"time"

	"github.com/poplarshore/poplarshore/coord/roster"
)

func Example() {
	r := roster.New(roster.Options{Self: "vm-1"})
	now := time.Now()
	r.ApplyList(now, []roster.ListEntry{{ID: "engine-1"}, {ID: "engine-2"}})
	r.RecordDeparting("engine-2", 0)                                                          // a response announced it
	r.ApplyList(now.Add(time.Second), []roster.ListEntry{{ID: "engine-1"}, {ID: "engine-2"}}) // the list still lags
	fmt.Println(r.Phase("engine-1"), r.Phase("engine-2"))
	// Output: live leaving
}

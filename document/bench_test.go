package document_test

import (
	"testing"

	"github.com/poplarshore/poplarshore/document"
	"github.com/poplarshore/poplarshore/examples"
)

func BenchmarkCheck(b *testing.B) {
	for b.Loop() {
		if _, faults := document.Check(examples.Hsinchu); len(faults) > 0 {
			b.Fatal(faults)
		}
	}
}

func BenchmarkLoad(b *testing.B) {
	for b.Loop() {
		if _, err := document.Load(examples.Hsinchu); err != nil {
			b.Fatal(err)
		}
	}
}

package kv_test

import (
	"context"
	"fmt"

	"ospreymoor.example/ospreymoor/pkg/kv"
)

func ExampleUpdateDocument() {
	store := kv.NewMemory().Store()
	for range 3 {
		counter, err := kv.UpdateDocument(context.Background(), store, "counter", func(n int) (int, error) { return n + 1, nil })
		fmt.Println(counter.Body, err)
	}
	// Output:
	// 1 <nil>
	// 2 <nil>
	// 3 <nil>
}

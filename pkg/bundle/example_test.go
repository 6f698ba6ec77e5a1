package bundle_test

import (
	"context"
	"fmt"

	"ospreymoor.example/ospreymoor/pkg/bundle"
	"ospreymoor.example/ospreymoor/pkg/kv"
)

const text = `
customer: acme
version: 7
callers:
  - name: desk
    token-sha256: 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
models:
  - name: writer
    weights: writer-3
    memory: 14GiB
    first-token: 880ms
    between-tokens: 37ms
`

func ExampleRegistry() {
	ctx := context.Background()
	registry := &bundle.Registry{Store: kv.NewMemory().Store()}
	b, err := bundle.Parse("acme.yaml", []byte(text))
	fmt.Println(b.Customer, b.Version, err)
	_, err = registry.Roll(ctx, "acme", 7)
	fmt.Println(err)
	_, _ = registry.SignOff(ctx, b, []byte(text))
	_, err = registry.Roll(ctx, "acme", 7)
	fmt.Println(err)
	_, err = registry.Roll(ctx, "acme", 7)
	fmt.Println(err)
	// Output:
	// acme 7 <nil>
	// acme version 7: version not signed off: run bundle sign-off first
	// <nil>
	// acme: roll 7, in force 7: version not above the one in force: sign off the content as a higher version
}

func ExampleParse() {
	_, err := bundle.Parse("acme.yaml", []byte("customer: acme\nversion: 1\nmodles: []\n"))
	fmt.Println(err)
	// Output:
	// acme.yaml:
	// [3:1] unknown field "modles"
	//    1 | customer: acme
	//    2 | version: 1
	// >  3 | modles: []
	//        ^
	//
	// correct the marked line; examples/ shows each field
}

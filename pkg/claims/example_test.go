package claims_test

import (
	"context"
	"fmt"

	"github.com/google/uuid"

	"ospreymoor.example/ospreymoor/pkg/claims"
	"ospreymoor.example/ospreymoor/pkg/kv"
)

func ExampleClaims() {
	store := kv.NewMemory().Store()
	key := uuid.Must(uuid.NewV7()).String()
	for _, box := range []string{"box-1", "box-2"} {
		c := claims.New(claims.Config{Store: store})
		own := claims.Claim{Digest: "d", Upstream: "engine-1", RequestID: "request-of-" + box, Box: box}
		inForce, err := c.Claim(context.Background(), "acme", key, own)
		fmt.Println(box, "may send it:", inForce.RequestID == own.RequestID, err)
	}
	_, err := claims.New(claims.Config{Store: store}).Claim(context.Background(), "acme", "17", claims.Claim{})
	fmt.Println(err)
	// Output:
	// box-1 may send it: true <nil>
	// box-2 may send it: false <nil>
	// request key "17": request key is no UUIDv7: make a new one and keep it across retries
}

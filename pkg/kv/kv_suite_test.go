package kv_test

import (
	"testing"

	"ospreymoor.example/ospreymoor/pkg/spectest"
)

func TestKV(t *testing.T) { spectest.Run(t, "Key-value service") }

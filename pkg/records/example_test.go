package records_test

import (
	"fmt"

	"ospreymoor.example/ospreymoor/pkg/records"
)

func ExampleCache() {
	cache := records.NewCache()
	newer := records.Record{Name: "plan", Generation: records.Generation{Term: 9}, Value: []byte(`"new"`)}
	older := records.Record{Name: "plan", Generation: records.Generation{Term: 4}, Value: []byte(`"old"`)}
	fmt.Println(cache.Put(newer), cache.Put(older))
	record, _ := cache.Get("plan")
	fmt.Println(string(record.Value))
	fmt.Println(cache.Behind(map[string]records.Generation{"plan": {Term: 10}}))
	// Output:
	// true false
	// "new"
	// [plan]
}

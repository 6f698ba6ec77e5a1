package kv_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreymoor.example/ospreymoor/pkg/kv"
	"ospreymoor.example/ospreymoor/pkg/kv/kvtest"
	"ospreymoor.example/ospreymoor/pkg/spectest"
)

// listSize is the capacity of the test's list.
const listSize = 12

var errFull = errors.ConstError("list is full")

// listModel defines which outcomes of adding an element to the list are correct. The state holds the
// elements in sorted order. After an unknown outcome the element may have been added or not.
var listModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{[]string(nil)} },
	Step: func(state, element, outcome any) []any {
		list := state.([]string)
		full := len(list) >= listSize
		added := append(slices.Clone(list), element.(string))
		slices.Sort(added)
		switch {
		case outcome == "unknown":
			return []any{list, added}
		case outcome == "done" && !full:
			return []any{added}
		case outcome == "refused" && full:
			return []any{list}
		}
		return nil
	},
	Equal: func(a, b any) bool { return slices.Equal(a.([]string), b.([]string)) },
}

// randomFaults returns a function that chooses faults at random, the same ones for the same seed.
func randomFaults(seed uint64) func(string) kvtest.Fault {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 1))
	return func(string) kvtest.Fault {
		mu.Lock()
		defer mu.Unlock()
		fault := kvtest.Fault{Delay: time.Duration(random.IntN(30)) * time.Millisecond}
		switch random.IntN(10) {
		case 0:
			fault.Refused = true
		case 1:
			fault.Lost = true
		case 2, 3:
			fault.AnswerLost = true
		case 4:
			fault.Late = time.Duration(random.IntN(300)+1) * time.Millisecond
		}
		return fault
	}
}

// hideOperations hides the operation ids of documents from readers, so that a writer can't find out whether
// its own change took effect.
func hideOperations(store kv.Store) kv.Store {
	get := store.Get
	store.Get = func(ctx context.Context, key string) (kv.Record, error) {
		record, err := get(ctx, key)
		var document kv.Document[json.RawMessage]
		if err == nil && json.Unmarshal(record.Value, &document) == nil {
			document.Ops = nil
			record.Value, _ = json.Marshal(document)
		}
		return record, err
	}
	return store
}

// runWriters runs concurrent writers that add elements through a faulty store. It returns their history
// and the elements of the final list. If showOperations is false, it applies hideOperations.
func runWriters(seed uint64, showOperations bool) (history []porcupine.Operation, final []string) {
	spectest.Bubble(func() {
		memory := kv.NewMemory().Store()
		store := kvtest.Faulty(memory, randomFaults(seed))
		if !showOperations {
			store = hideOperations(store)
		}
		start := time.Now()
		var mu sync.Mutex
		var writers sync.WaitGroup
		for writer := range 4 {
			writers.Go(func() {
				for i := range 5 {
					element := fmt.Sprintf("%d-%d", writer, i)
					called := time.Since(start)
					outcome := add(store, element)
					returned := time.Since(start)
					if outcome == "unknown" {
						returned = time.Hour // It may take effect at any later time.
					}
					mu.Lock()
					history = append(history, porcupine.Operation{
						ClientId: writer, Input: element, Call: int64(called), Output: outcome, Return: int64(returned),
					})
					mu.Unlock()
				}
			})
		}
		writers.Wait()
		time.Sleep(time.Second) // Late swaps take effect.
		document, err := kv.ReadDocument[[]string](context.Background(), memory, "list")
		Expect(err).NotTo(HaveOccurred())
		final = document.Body
	})
	return history, final
}

func add(store kv.Store, element string) string {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, err := kv.UpdateDocument(ctx, store, "list", func(list []string) ([]string, error) {
		if len(list) >= listSize {
			return nil, errFull
		}
		return append(slices.Clone(list), element), nil
	})
	switch {
	case err == nil:
		return "done"
	case errors.Is(err, errFull):
		return "refused"
	default:
		return "unknown"
	}
}

// linearizable reports whether the history is linearizable by the model and the final list agrees with
// the outcomes.
func linearizable(history []porcupine.Operation, final []string) bool {
	occurrences := map[string]int{}
	for _, element := range final {
		occurrences[element]++
	}
	for _, operation := range history {
		n := occurrences[operation.Input.(string)]
		if n > 1 || (operation.Output == "done" && n != 1) || (operation.Output == "refused" && n != 0) {
			return false
		}
	}
	return porcupine.CheckOperations(listModel.ToModel(), history)
}

var _ = Describe("A document changed by several writers while answers are lost or late", func() {
	const seeds = 40

	It("makes each change at most once and returns its true outcome", func() {
		for seed := range uint64(seeds) {
			history, final := runWriters(seed, true)
			Expect(linearizable(history, final)).To(BeTrue(), "seed %d", seed)
		}
	})

	It("violates this if writers cannot read the stored operation ids", func() {
		broken := 0
		for seed := range uint64(seeds) {
			if history, final := runWriters(seed, false); !linearizable(history, final) {
				broken++
			}
		}
		Expect(broken).To(BeNumerically(">", 0))
	})
})

var _ = Describe("A value that is too large", func() {
	It("is refused before it is sent", func() {
		store := kv.NewMemory().Store()
		_, err := store.Swap(context.Background(), kv.Swap{Key: "k", Value: make([]byte, kv.MaxValueBytes+1)})
		Expect(err).To(MatchError(kv.ErrTooLarge))
		Expect(err).To(MatchError(ContainSubstring("split it over several keys")))
	})
})

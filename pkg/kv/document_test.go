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

// listSize is how many elements the test's list takes.
const listSize = 12

var errFull = errors.ConstError("list is full")

// listModel defines what adding to a list may return. The state holds the elements in
// sorted order; an unknown outcome may be either.
var listModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{[]string(nil)} },
	Step: func(state, element, outcome any) []any {
		list := state.([]string)
		full := len(list) >= listSize
		with := append(slices.Clone(list), element.(string))
		slices.Sort(with)
		switch {
		case outcome == "unknown":
			return []any{list, with}
		case outcome == "done" && !full:
			return []any{with}
		case outcome == "refused" && full:
			return []any{list}
		}
		return nil
	},
	Equal: func(a, b any) bool { return slices.Equal(a.([]string), b.([]string)) },
}

// chaos picks fates at random, the same for the same seed.
func chaos(seed uint64) func(string) kvtest.Fate {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 1))
	return func(string) kvtest.Fate {
		mu.Lock()
		defer mu.Unlock()
		fate := kvtest.Fate{Delay: time.Duration(random.IntN(30)) * time.Millisecond}
		switch random.IntN(10) {
		case 0:
			fate.Refused = true
		case 1:
			fate.Lost = true
		case 2, 3:
			fate.AnswerLost = true
		case 4:
			fate.Late = time.Duration(random.IntN(300)+1) * time.Millisecond
		}
		return fate
	}
}

// forgetful hides from readers which operations made a document: the guard is off.
func forgetful(store kv.Store) kv.Store {
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

// runWriters has writers add elements through a faulty store; it returns their history and
// the elements that stand in the end.
func runWriters(seed uint64, guard bool) (history []porcupine.Operation, final []string) {
	spectest.Bubble(func() {
		memory := kv.NewMemory().Store()
		store := kvtest.Faulty(memory, chaos(seed))
		if !guard {
			store = forgetful(store)
		}
		begun := time.Now()
		var mu sync.Mutex
		var writers sync.WaitGroup
		for writer := range 4 {
			writers.Go(func() {
				for i := range 5 {
					element := fmt.Sprintf("%d-%d", writer, i)
					call := time.Since(begun)
					outcome := add(store, element)
					end := time.Since(begun)
					if outcome == "unknown" {
						end = time.Hour // It may take effect at any later time.
					}
					mu.Lock()
					history = append(history, porcupine.Operation{
						ClientId: writer, Input: element, Call: int64(call), Output: outcome, Return: int64(end),
					})
					mu.Unlock()
				}
			})
		}
		writers.Wait()
		time.Sleep(time.Second) // Late swaps land.
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

// linearizable reports whether a history fits the model, and the end fits the history.
func linearizable(history []porcupine.Operation, final []string) bool {
	stands := map[string]int{}
	for _, element := range final {
		stands[element]++
	}
	for _, operation := range history {
		n := stands[operation.Input.(string)]
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

	It("would not without the operations it remembers (guard off)", func() {
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

package idempotency

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"limpetwall/internal/transport/objectapi"
	"limpetwall/internal/transport/objectapi/standin"
)

// lossyStore fails writes as told: 'l' loses the answer, 'n' the request, 'd' is down.
type lossyStore struct {
	*standin.Store
	mu     sync.Mutex
	script string
}

func (l *lossyStore) Put(ctx context.Context, key string, value []byte, version int64) (objectapi.Object, error) {
	l.mu.Lock()
	outcome := byte('o')
	if l.script != "" {
		outcome, l.script = l.script[0], l.script[1:]
	}
	l.mu.Unlock()
	switch outcome {
	case 'l':
		l.Store.Put(ctx, key, value, version)
		return objectapi.Object{}, objectapi.ErrOutcomeUnknown
	case 'n':
		return objectapi.Object{}, objectapi.ErrOutcomeUnknown
	case 'd':
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	return l.Store.Put(ctx, key, value, version)
}

// withBinders runs some withBinders on one platform inside a bubble.
func withBinders(t *testing.T, script string, count int, test func(api *lossyStore, all []*Binder)) {
	synctest.Test(t, func(t *testing.T) {
		api := &lossyStore{Store: standin.New(), script: script}
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		var all []*Binder
		for range count {
			b := NewBinder(DefaultConfig(), api)
			all = append(all, b)
			wg.Go(func() { b.Run(ctx) })
		}
		test(api, all)
		cancel()
		wg.Wait()
	})
}

// TestConcurrentBindsAgreeOnOneTicket binds the same keys through four entries at once, while
// writes and answers are lost.
//
// Every entry proposes its own ticket; all of them must be told the same one.
func TestConcurrentBindsAgreeOnOneTicket(t *testing.T) {
	for _, script := range []string{"", "l", "n", "lnl", "nnl", "lll"} {
		withBinders(t, script, 4, func(_ *lossyStore, all []*Binder) {
			const keys = 50
			var mu sync.Mutex
			got := map[int]map[Ticket]bool{}
			var wg sync.WaitGroup
			for entry, b := range all {
				for k := range keys {
					wg.Go(func() {
						ticket, err := b.Bind(context.Background(), HashKey("c", "s", fmt.Sprint(k)), Ticket{uint64(entry + 1), uint64(k + 1)})
						if err != nil {
							t.Errorf("script %q key %d: %v", script, k, err)
							return
						}
						mu.Lock()
						defer mu.Unlock()
						if got[k] == nil {
							got[k] = map[Ticket]bool{}
						}
						got[k][ticket] = true
					})
				}
			}
			wg.Wait()
			for k, tickets := range got {
				if len(tickets) != 1 {
					t.Errorf("script %q key %d is bound to %d tickets", script, k, len(tickets))
				}
			}
		})
	}
}

func TestBindFailsWhilePlatformIsUnavailable(t *testing.T) {
	withBinders(t, "d", 1, func(_ *lossyStore, all []*Binder) {
		if _, err := all[0].Bind(context.Background(), HashKey("c", "s", "k"), Ticket{1, 1}); !errors.Is(err, ErrPlatform) {
			t.Errorf("%v", err)
		}
	})
}

// TestLookupDoesNotBind asks for a key with the zero ticket.
func TestLookupDoesNotBind(t *testing.T) {
	withBinders(t, "", 1, func(_ *lossyStore, all []*Binder) {
		key := HashKey("c", "s", "k")
		for _, want := range []Ticket{{}, {}} {
			if got, err := all[0].Bind(context.Background(), key, Ticket{}); err != nil || got != want {
				t.Errorf("%v %v", got, err)
			}
		}
		all[0].Bind(context.Background(), key, Ticket{1, 2})
		if got, _ := all[0].Bind(context.Background(), key, Ticket{}); got != (Ticket{1, 2}) {
			t.Errorf("%v", got)
		}
	})
}

// TestBindingsExpire keeps a binding for its time and frees its room after it.
func TestBindingsExpire(t *testing.T) {
	withBinders(t, "", 1, func(_ *lossyStore, all []*Binder) {
		key := HashKey("c", "s", "k")
		all[0].Bind(context.Background(), key, Ticket{1, 1})
		time.Sleep(DefaultConfig().Retention - time.Minute)
		if got, _ := all[0].Bind(context.Background(), key, Ticket{2, 2}); got != (Ticket{1, 1}) {
			t.Errorf("before its time: %v", got)
		}
	})
	p := page{bindings: map[Key]binding{{1}: {boundAt: 100}, {2}: {boundAt: 500}}}
	p.prune(time.Unix(600, 0), 200*time.Second)
	if len(p.bindings) != 1 {
		t.Errorf("%d rows after pruning", len(p.bindings))
	}
}

func TestFullPageRefusesNewKeys(t *testing.T) {
	api := standin.New()
	p := page{bindings: map[Key]binding{}}
	now := uint32(time.Now().Unix())
	for i := range maxBindings {
		p.bindings[Key{0, byte(i >> 16), byte(i >> 8), byte(i)}] = binding{ticket: Ticket{1, uint64(i)}, boundAt: now}
	}
	if data := p.encode(); len(data) > objectapi.MaxValue {
		t.Fatalf("a full page has %d bytes", len(data))
	} else if _, err := api.Put(t.Context(), pageKey(0), data, 0); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	b := NewBinder(DefaultConfig(), api)
	go b.Run(ctx)
	if _, err := b.Bind(ctx, Key{0, 255, 255, 255, 255}, Ticket{1, 1}); !errors.Is(err, ErrPageFull) {
		t.Errorf("%v", err)
	}
	if got, err := b.Bind(ctx, Key{0, 0, 0, 5}, Ticket{9, 9}); err != nil || got != (Ticket{1, 5}) {
		t.Errorf("a bound key on a full page: %v %v", got, err)
	}
}

func TestHashKeySeparatesFields(t *testing.T) {
	seen := map[Key]bool{}
	for _, fields := range [][3]string{{"a", "b", "c"}, {"ab", "", "c"}, {"a", "bc", ""}, {"b", "a", "c"}, {"", "ab", "c"}} {
		seen[HashKey(fields[0], fields[1], fields[2])] = true
	}
	if len(seen) != 5 {
		t.Errorf("%d different keys of 5", len(seen))
	}
}

func FuzzDecodePage(f *testing.F) {
	f.Add(make([]byte, bindingSize))
	f.Add([]byte{1})
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := decodePage(data)
		if err == nil && len(p.encode()) > len(data) {
			t.Error("a page grew")
		}
	})
}

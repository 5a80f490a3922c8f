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

// lossy fails writes as told: 'l' loses the answer, 'n' the request, 'd' is down.
type lossy struct {
	*standin.Store
	mu     sync.Mutex
	script string
}

func (l *lossy) Put(ctx context.Context, key string, value []byte, version int64) (objectapi.Object, error) {
	l.mu.Lock()
	fate := byte('o')
	if l.script != "" {
		fate, l.script = l.script[0], l.script[1:]
	}
	l.mu.Unlock()
	switch fate {
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

// binders runs some binders on one platform inside a bubble.
func binders(t *testing.T, script string, count int, test func(api *lossy, all []*Binder)) {
	synctest.Test(t, func(t *testing.T) {
		api := &lossy{Store: standin.New(), script: script}
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		var all []*Binder
		for range count {
			b := NewBinder(DefaultConfig(), api)
			all = append(all, b)
			group.Go(func() { b.Run(ctx) })
		}
		test(api, all)
		cancel()
		group.Wait()
	})
}

// TestOneKeyOneTicket binds the same keys through four entries at once, while
// writes and answers are lost.
//
// Every entry proposes its own ticket; all of them must be told the same one.
func TestOneKeyOneTicket(t *testing.T) {
	for _, script := range []string{"", "l", "n", "lnl", "nnl", "lll"} {
		binders(t, script, 4, func(_ *lossy, all []*Binder) {
			const keys = 50
			var mu sync.Mutex
			got := map[int]map[Ticket]bool{}
			var group sync.WaitGroup
			for who, b := range all {
				for k := range keys {
					group.Go(func() {
						ticket, err := b.Bind(context.Background(), HashKey("c", "s", fmt.Sprint(k)), Ticket{uint64(who + 1), uint64(k + 1)})
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
			group.Wait()
			for k, tickets := range got {
				if len(tickets) != 1 {
					t.Errorf("script %q key %d is bound to %d tickets", script, k, len(tickets))
				}
			}
		})
	}
}

func TestPlatformDown(t *testing.T) {
	binders(t, "d", 1, func(_ *lossy, all []*Binder) {
		if _, err := all[0].Bind(context.Background(), HashKey("c", "s", "k"), Ticket{1, 1}); !errors.Is(err, ErrPlatform) {
			t.Errorf("%v", err)
		}
	})
}

// TestLookUpBindsNothing asks for a key with the zero ticket.
func TestLookUpBindsNothing(t *testing.T) {
	binders(t, "", 1, func(_ *lossy, all []*Binder) {
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

// TestBindingsAgeOut keeps a binding for its time and frees its room after it.
func TestBindingsAgeOut(t *testing.T) {
	binders(t, "", 1, func(_ *lossy, all []*Binder) {
		key := HashKey("c", "s", "k")
		all[0].Bind(context.Background(), key, Ticket{1, 1})
		time.Sleep(DefaultConfig().Retention - time.Minute)
		if got, _ := all[0].Bind(context.Background(), key, Ticket{2, 2}); got != (Ticket{1, 1}) {
			t.Errorf("before its time: %v", got)
		}
	})
	p := page{rows: map[Key]binding{{1}: {at: 100}, {2}: {at: 500}}}
	p.prune(time.Unix(600, 0), 200*time.Second)
	if len(p.rows) != 1 {
		t.Errorf("%d rows after pruning", len(p.rows))
	}
}

func TestFullPageRefuses(t *testing.T) {
	api := standin.New()
	p := page{rows: map[Key]binding{}}
	now := uint32(time.Now().Unix())
	for i := range maxRows {
		p.rows[Key{0, byte(i >> 16), byte(i >> 8), byte(i)}] = binding{ticket: Ticket{1, uint64(i)}, at: now}
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

func TestKeysOfCustomersDiffer(t *testing.T) {
	seen := map[Key]bool{}
	for _, parts := range [][3]string{{"a", "b", "c"}, {"ab", "", "c"}, {"a", "bc", ""}, {"b", "a", "c"}, {"", "ab", "c"}} {
		seen[HashKey(parts[0], parts[1], parts[2])] = true
	}
	if len(seen) != 5 {
		t.Errorf("%d different keys of 5", len(seen))
	}
}

func FuzzDecodePage(f *testing.F) {
	f.Add(make([]byte, rowSize))
	f.Add([]byte{1})
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := decodePage(data)
		if err == nil && len(p.encode()) > len(data) {
			t.Error("a page grew")
		}
	})
}

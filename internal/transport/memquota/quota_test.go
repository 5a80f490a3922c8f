package memquota

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"pgregory.net/rapid"
)

// open opens an account whose owner frees it once it is revoked. of an account that frees it once it is revoked.
func open(q *Quota) (a *Account, revoked *bool) {
	revoked = new(bool)
	a = q.Open(func() {
		*revoked = true
		a.Close()
	})
	return a, revoked
}

// TestLargestIncompleteRequestIsRevoked guards against a quota that refuses whoever comes next while others hold most of it.
func TestLargestIncompleteRequestIsRevoked(t *testing.T) {
	q := New(1<<20, 0)
	small, smallRevoked := open(q)
	large, largeRevoked := open(q)
	whole, wholeRevoked := open(q)
	for _, grow := range []struct {
		a *Account
		n int64
	}{{small, 100 << 10}, {large, 300 << 10}, {whole, 500 << 10}} {
		if err := grow.a.Grow(grow.n); err != nil {
			t.Fatal(err)
		}
	}
	if err := whole.Seal(); err != nil {
		t.Fatal(err)
	}
	next, nextRevoked := open(q)
	if err := next.Grow(150 << 10); err != nil {
		t.Errorf("a smaller request: %v", err)
	}
	if *smallRevoked || !*largeRevoked || *wholeRevoked || *nextRevoked {
		t.Errorf("revoked: small %v, large %v, complete %v, next %v; want the large one only", *smallRevoked, *largeRevoked, *wholeRevoked, *nextRevoked)
	}
	if err := next.Grow(500 << 10); !errors.Is(err, ErrExhausted) {
		t.Errorf("the largest request: %v, want ErrExhausted", err)
	}
	if err := large.Grow(1); !errors.Is(err, ErrRevoked) {
		t.Errorf("the revoked request: %v, want ErrRevoked", err)
	}
}

// TestSmallRequestsFindMemoryBesideLargeOnes guards against complete large requests that take the whole quota.
func TestSmallRequestsFindMemoryBesideLargeOnes(t *testing.T) {
	q := New(16<<20, 0)
	for {
		a, _ := open(q)
		if err := a.Grow(1 << 20); err != nil {
			break
		}
		a.Seal()
	}
	a, _ := open(q)
	if err := a.Grow(smallRequest); err != nil {
		t.Error(err)
	}
}

// TestUnreadAnswerCanBeRevoked guards against complete requests that keep their memory because their callers do not read.
func TestUnreadAnswerCanBeRevoked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(1<<20, 0)
		unread, revoked := open(q)
		unread.Grow(700 << 10)
		unread.Seal()
		unread.BeginWrite()
		next, _ := open(q)
		if err := next.Grow(500 << 10); !errors.Is(err, ErrExhausted) || *revoked {
			t.Errorf("at once: %v, revoked %v; want ErrExhausted", err, *revoked)
		}
		time.Sleep(blockedGrace + time.Millisecond)
		if err := next.Grow(500 << 10); err != nil || !*revoked {
			t.Errorf("after %v: %v, revoked %v; want the unread one revoked", blockedGrace, err, *revoked)
		}
	})
}

// TestGrowWaitsUntilRevokedMemoryIsFree guards against a quota that counts memory as free before its owner has let it go.
func TestGrowWaitsUntilRevokedMemoryIsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(1<<20, 0)
		slow := q.Open(func() {})
		slow.Grow(700 << 10)
		a, _ := open(q)
		began := time.Now()
		go func() {
			time.Sleep(releaseTimeout / 2)
			slow.Close()
		}()
		if err := a.Grow(400 << 10); err != nil || time.Since(began) != releaseTimeout/2 {
			t.Errorf("%v after %v, want memory after %v", err, time.Since(began), releaseTimeout/2)
		}
		stuck := q.Open(func() {})
		stuck.Grow(300 << 10)
		b, _ := open(q)
		if err := b.Grow(600 << 10); !errors.Is(err, ErrExhausted) {
			t.Errorf("beside an owner that keeps its memory: %v, want ErrExhausted", err)
		}
	})
}

// TestCustomerLeavesMemoryToOthers guards against a customer whose requests take all memory, and against a bound on it that a
// single request meets.
func TestCustomerLeavesMemoryToOthers(t *testing.T) {
	q := New(16<<20, 0)
	for n := 0; ; n++ {
		a, _ := open(q)
		a.Join("greedy")
		if err := a.Grow(smallRequest); err != nil {
			if n != 16<<20/smallRequest/groupPart {
				t.Errorf("%d requests of a customer, want %d", n, 16<<20/smallRequest/groupPart)
			}
			break
		}
		a.Seal()
	}
	other, _ := open(q)
	other.Join("other")
	if err := other.Grow(smallRequest); err != nil {
		t.Errorf("another customer: %v", err)
	}
	large, largeRevoked := open(q)
	large.Join("other")
	if err := large.Grow(2 << 20); err != nil {
		t.Errorf("another customer's large request: %v", err)
	}
	next, _ := open(q)
	next.Join("greedy")
	if err := next.Grow(1); !errors.Is(err, ErrExhausted) || *largeRevoked {
		t.Errorf("the same customer: %v, another's revoked: %v", err, *largeRevoked)
	}
	single := New(1<<20, 16<<20)
	single.Require(8 << 20)
	a, _ := open(single)
	a.Join("single")
	if err := a.Grow(8<<20 + headRoom/2); err != nil {
		t.Errorf("a single request of the largest size: %v", err)
	}
}

// TestQuotaHolds draws sequences of calls: what is held never exceeds the quota, and all of it is free in the end.
func TestQuotaHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1<<10, 1<<20).Draw(t, "limit")
		q := New(limit, 0)
		var accounts []*Account
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(accounts) == 0 || rapid.IntRange(0, 3).Draw(t, "open") == 0 {
				a, _ := open(q)
				a.Join(rapid.SampledFrom([]string{"", "one", "two"}).Draw(t, "customer"))
				accounts = append(accounts, a)
			}
			a := accounts[rapid.IntRange(0, len(accounts)-1).Draw(t, "account")]
			n := rapid.Int64Range(1, limit).Draw(t, "bytes")
			switch rapid.SampledFrom([]string{"grow", "grow", "grow", "shrink", "seal", "close"}).Draw(t, "call") {
			case "grow":
				a.Grow(n)
			case "shrink":
				a.Shrink(n)
			case "seal":
				a.Seal()
			case "close":
				a.Close()
			}
			var sum total
			for _, held := range q.accounts {
				sum.add(held.size, 1)
			}
			for name, g := range q.groups {
				if g.used > q.groupLimit || g.accounts == 0 {
					t.Fatalf("%s holds %+v of %d", name, *g, q.groupLimit)
				}
			}
			if q.used != sum || q.used.all > limit {
				t.Fatalf("held %+v, the accounts %+v, limit %d", q.used, sum, limit)
			}
		}
		for _, a := range accounts {
			a.Close()
		}
		if q.used != (total{}) || q.releasing != (total{}) || len(q.accounts)+len(q.groups) != 0 {
			t.Fatalf("left %+v, releasing %+v, %d accounts", q.used, q.releasing, len(q.accounts))
		}
	})
}

// TestOrdinaryRequestsBesideHoarders guards against a crowd of medium requests without an end that shuts ordinary ones out.
func TestOrdinaryRequestsBesideHoarders(t *testing.T) {
	q := New(88<<20/5, 0)
	for range 751 {
		a, _ := open(q)
		for a.size < 60<<10 && a.Grow(4<<10) == nil {
		}
	}
	refused := 0
	for range 1000 {
		a, _ := open(q)
		if a.Grow(4<<10) != nil || a.Seal() != nil {
			refused++
		}
		a.Close()
	}
	if refused > 0 {
		t.Errorf("%d of 1000 ordinary requests refused", refused)
	}
}

package main

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// partKey names a part of a prompt in a cache.
type partKey struct{ salt, id string }

// changes are the events of a model server's cache or of a store of kept KV cache.
type changes struct {
	mu     sync.Mutex
	epoch  int64
	next   int64
	events [][]any
	added  chan struct{}
}

func newChanges() *changes {
	return &changes{epoch: time.Now().UnixNano() % 1_000_000, next: 1, added: make(chan struct{})}
}

func (c *changes) add(sign string, key partKey, tokens int, model string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, []any{c.next, sign, key.salt, key.id, tokens, model})
	c.next++
	close(c.added)
	c.added = make(chan struct{})
}

// ServeHTTP answers GET /kv-events.
func (c *changes) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	timer := time.NewTimer(time.Duration(min(wait, 1000)) * time.Millisecond)
	defer timer.Stop()
	for {
		c.mu.Lock()
		found := [][]any{}
		for _, e := range c.events {
			if e[0].(int64) >= since {
				found = append(found, e)
			}
		}
		lost := since > c.next
		next, epoch, added := c.next, c.epoch, c.added
		c.mu.Unlock()
		answer := map[string]any{"epoch": epoch, "next_token": next, "lost": lost, "events": found, "clock_ms": time.Now().UnixMilli()}
		if len(found) > 0 || lost {
			reply(w, http.StatusOK, answer)
			return
		}
		select {
		case <-added:
		case <-timer.C:
			answer["clock_ms"] = time.Now().UnixMilli()
			reply(w, http.StatusOK, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// link carries one transfer after the other.
type link struct{ busy sync.Mutex }

// maxTransferWait is the longest that a transfer waits for its turn.
const maxTransferWait = 2 * time.Second

// begin waits for the link; it returns false if that takes too long.
func (l *link) begin() bool {
	for end := time.Now().Add(maxTransferWait); !l.busy.TryLock(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

func (l *link) end() { l.busy.Unlock() }

// Package objectapitest is the contract that every implementation of the object
// API port must pass.
package objectapitest

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"

	"limpetwall/internal/transport/objectapi"
)

// Run runs the contract; open returns an empty API.
func Run(t *testing.T, open func(t *testing.T) objectapi.API) {
	rows := []struct {
		name string
		run  func(t *testing.T, api objectapi.API)
	}{
		{"a missing object is ErrNotFound", missing},
		{"create, update and delete are conditional", conditional},
		{"a version is never used again after a delete", versionsGrow},
		{"of two writers on one version one wins", race},
		{"a value above the limit is refused whole", tooLarge},
		{"list returns a prefix in order", list},
		{"a watch sees a change made while it waits", watch},
		{"a watch ends after its wait", watchEnds},
		{"keys may hold any character", keys},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) { row.run(t, open(t)) })
	}
}

func missing(t *testing.T, api objectapi.API) {
	if _, err := api.Get(t.Context(), "none"); !errors.Is(err, objectapi.ErrNotFound) {
		t.Errorf("get: %v", err)
	}
	if err := api.Delete(t.Context(), "none", 1); !errors.Is(err, objectapi.ErrNotFound) {
		t.Errorf("delete: %v", err)
	}
}

func put(t *testing.T, api objectapi.API, key, value string, version int64) objectapi.Object {
	t.Helper()
	o, err := api.Put(t.Context(), key, []byte(value), version)
	if err != nil {
		t.Fatalf("put %s: %v", key, err)
	}
	return o
}

func conditional(t *testing.T, api objectapi.API) {
	first := put(t, api, "k", "one", 0)
	if _, err := api.Put(t.Context(), "k", []byte("x"), 0); !errors.Is(err, objectapi.ErrConflict) {
		t.Errorf("second create: %v", err)
	}
	second := put(t, api, "k", "two", first.Version)
	if second.Version <= first.Version {
		t.Errorf("version %d after %d", second.Version, first.Version)
	}
	if _, err := api.Put(t.Context(), "k", []byte("x"), first.Version); !errors.Is(err, objectapi.ErrConflict) {
		t.Errorf("stale update: %v", err)
	}
	if err := api.Delete(t.Context(), "k", first.Version); !errors.Is(err, objectapi.ErrConflict) {
		t.Errorf("stale delete: %v", err)
	}
	got, err := api.Get(t.Context(), "k")
	if err != nil || string(got.Value) != "two" || got.Version != second.Version {
		t.Errorf("get: %+v %v", got, err)
	}
	if err := api.Delete(t.Context(), "k", second.Version); err != nil {
		t.Errorf("delete: %v", err)
	}
}

func versionsGrow(t *testing.T, api objectapi.API) {
	old := put(t, api, "k", "one", 0)
	if err := api.Delete(t.Context(), "k", old.Version); err != nil {
		t.Fatal(err)
	}
	put(t, api, "k", "again", 0)
	if _, err := api.Put(t.Context(), "k", []byte("late"), old.Version); !errors.Is(err, objectapi.ErrConflict) {
		t.Errorf("a write bound to the deleted object's version: %v", err)
	}
}

func race(t *testing.T, api objectapi.API) {
	base := put(t, api, "k", "base", 0)
	const writers = 8
	var group sync.WaitGroup
	results := make([]error, writers)
	for i := range writers {
		group.Go(func() { _, results[i] = api.Put(t.Context(), "k", []byte{byte(i)}, base.Version) })
	}
	group.Wait()
	won := 0
	for _, err := range results {
		if err == nil {
			won++
		} else if !errors.Is(err, objectapi.ErrConflict) {
			t.Errorf("loser: %v", err)
		}
	}
	if won != 1 {
		t.Errorf("%d writers won", won)
	}
}

func tooLarge(t *testing.T, api objectapi.API) {
	if _, err := api.Put(t.Context(), "k", bytes.Repeat([]byte{1}, objectapi.MaxValue+1), 0); !errors.Is(err, objectapi.ErrTooLarge) {
		t.Errorf("oversize: %v", err)
	}
	value := bytes.Repeat([]byte{2}, objectapi.MaxValue)
	put(t, api, "k", string(value), 0)
	if got, err := api.Get(t.Context(), "k"); err != nil || !bytes.Equal(got.Value, value) {
		t.Errorf("largest value: %d bytes, %v", len(got.Value), err)
	}
}

func list(t *testing.T, api objectapi.API) {
	for _, key := range []string{"b.2", "a.1", "b.1", "c"} {
		put(t, api, key, key, 0)
	}
	got, err := api.List(t.Context(), "b.")
	if err != nil || len(got) != 2 || got[0].Key != "b.1" || got[1].Key != "b.2" || string(got[0].Value) != "b.1" {
		t.Errorf("%+v %v", got, err)
	}
}

func watch(t *testing.T, api objectapi.API) {
	first := put(t, api, "k", "one", 0)
	seen := make(chan objectapi.Object, 1)
	go func() {
		o, _ := api.Watch(t.Context(), "k", first.Version, time.Minute)
		seen <- o
	}()
	second := put(t, api, "k", "two", first.Version)
	if o := <-seen; o.Version != second.Version || string(o.Value) != "two" {
		t.Errorf("watched %+v", o)
	}
	// A watch from an older version returns at once: nothing is missed between.
	if o, err := api.Watch(t.Context(), "k", first.Version, time.Minute); err != nil || o.Version != second.Version {
		t.Errorf("%+v %v", o, err)
	}
}

func watchEnds(t *testing.T, api objectapi.API) {
	if _, err := api.Watch(t.Context(), "none", 0, time.Millisecond); !errors.Is(err, objectapi.ErrNotFound) {
		t.Errorf("watch of a missing object: %v", err)
	}
	first := put(t, api, "k", "one", 0)
	if o, err := api.Watch(t.Context(), "k", first.Version, time.Millisecond); err != nil || o.Version != first.Version {
		t.Errorf("%+v %v", o, err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := api.Watch(ctx, "k", first.Version, time.Minute); err == nil {
		t.Error("a cancelled watch gave no error")
	}
}

func keys(t *testing.T, api objectapi.API) {
	for _, key := range []string{"a/b", "a b", "a?b=c", "ключ", "%2f"} {
		put(t, api, key, key, 0)
		if o, err := api.Get(t.Context(), key); err != nil || string(o.Value) != key {
			t.Errorf("%q: %+v %v", key, o, err)
		}
	}
}

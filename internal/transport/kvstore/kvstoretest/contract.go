// Package kvstoretest is the contract that every implementation of the store
// host port must pass.
package kvstoretest

import (
	"bytes"
	"testing"

	"github.com/juju/errors"

	"limpetwall/internal/state/contextkey"
	"limpetwall/internal/transport/kvstore"
)

// Capacity that open must give a store, in bytes.
const Capacity = 100

// Run runs the contract; open returns an empty store of Capacity bytes.
func Run(t *testing.T, open func(t *testing.T) kvstore.Store) {
	rows := []struct {
		name string
		run  func(t *testing.T, s kvstore.Store)
	}{
		{"a block is readable only after it is sealed", sealed},
		{"a freed block is gone and its room is free", freed},
		{"a writer that was overtaken by a free is refused", overtaken},
		{"a full store refuses and keeps what it has", full},
		{"a second write of a key replaces the first when sealed", replaced},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) { row.run(t, open(t)) })
	}
}

func key(n byte) contextkey.Key { return contextkey.Key{n} }

func reserve(t *testing.T, s kvstore.Store, n byte, size int) kvstore.Slot {
	t.Helper()
	slot, err := s.Reserve(t.Context(), key(n), size)
	if err != nil {
		t.Fatalf("reserve: %v", err)
	}
	return slot
}

func store(t *testing.T, s kvstore.Store, n byte, data string) kvstore.Slot {
	t.Helper()
	slot := reserve(t, s, n, len(data))
	for i := range len(data) {
		if err := s.Write(t.Context(), slot, i, []byte(data[i:i+1])); err != nil {
			t.Fatalf("write: %v", err)
		}
	}
	if err := s.Seal(t.Context(), slot); err != nil {
		t.Fatalf("seal: %v", err)
	}
	return slot
}

func sealed(t *testing.T, s kvstore.Store) {
	slot := reserve(t, s, 1, 4)
	if err := s.Write(t.Context(), slot, 0, []byte("ab")); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Read(t.Context(), key(1)); !errors.Is(err, kvstore.ErrNotFound) {
		t.Errorf("read before seal: %v", err)
	}
	if err := s.Write(t.Context(), slot, 3, []byte("xx")); err == nil {
		t.Error("a write beyond the slot was accepted")
	}
	if err := s.Write(t.Context(), slot, 2, []byte("cd")); err != nil {
		t.Fatal(err)
	}
	if err := s.Seal(t.Context(), slot); err != nil {
		t.Fatal(err)
	}
	got, err := s.Read(t.Context(), key(1))
	if err != nil || !bytes.Equal(got, []byte("abcd")) {
		t.Errorf("read: %q %v", got, err)
	}
	if err := s.Write(t.Context(), slot, 0, []byte("z")); !errors.Is(err, kvstore.ErrGeneration) {
		t.Errorf("write after seal: %v", err)
	}
}

func freed(t *testing.T, s kvstore.Store) {
	store(t, s, 1, "abcd")
	for range 2 { // freeing twice is no error
		if err := s.Free(t.Context(), key(1)); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := s.Read(t.Context(), key(1)); !errors.Is(err, kvstore.ErrNotFound) {
		t.Errorf("read after free: %v", err)
	}
	if status, err := s.Status(t.Context()); err != nil || status.Used != 0 || status.Capacity != Capacity {
		t.Errorf("status %+v %v", status, err)
	}
}

func overtaken(t *testing.T, s kvstore.Store) {
	slot := store(t, s, 1, "abcd")
	if err := s.Free(t.Context(), key(1)); err != nil {
		t.Fatal(err)
	}
	if err := s.Write(t.Context(), slot, 0, []byte("x")); !errors.Is(err, kvstore.ErrGeneration) {
		t.Errorf("write: %v", err)
	}
	if err := s.Seal(t.Context(), slot); !errors.Is(err, kvstore.ErrGeneration) {
		t.Errorf("seal: %v", err)
	}
}

func full(t *testing.T, s kvstore.Store) {
	store(t, s, 1, "abcd")
	if _, err := s.Reserve(t.Context(), key(2), Capacity); !errors.Is(err, kvstore.ErrFull) {
		t.Errorf("reserve: %v", err)
	}
	if got, err := s.Read(t.Context(), key(1)); err != nil || string(got) != "abcd" {
		t.Errorf("read: %q %v", got, err)
	}
}

func replaced(t *testing.T, s kvstore.Store) {
	store(t, s, 1, "old")
	slot := reserve(t, s, 1, 3)
	if got, err := s.Read(t.Context(), key(1)); err != nil || string(got) != "old" {
		t.Errorf("read during the second write: %q %v", got, err)
	}
	s.Write(t.Context(), slot, 0, []byte("new"))
	if err := s.Seal(t.Context(), slot); err != nil {
		t.Fatal(err)
	}
	if got, err := s.Read(t.Context(), key(1)); err != nil || string(got) != "new" {
		t.Errorf("read: %q %v", got, err)
	}
}

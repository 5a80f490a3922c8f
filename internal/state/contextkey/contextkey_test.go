package contextkey_test

import (
	"strings"
	"testing"

	"limpetwall/internal/state/contextkey"
)

// TestKeysDependOnScopeAndPrefix guards against contexts being shared across
// customers, models, weight versions or adapters, and against a key that ignores
// the text before its chunk or depends on the text after it.
func TestKeysDependOnScopeAndPrefix(t *testing.T) {
	text := strings.Repeat("x", 2*contextkey.ChunkBytes+1)
	base := contextkey.Scope{Salt: []byte("a"), Model: "m", WeightVersion: "v1", Adapter: "l"}
	baseKeys := contextkey.ChunkKeys(base, text)
	if len(baseKeys) != 2 || baseKeys[0] == baseKeys[1] {
		t.Fatalf("got %d keys, want 2 different ones", len(baseKeys))
	}
	otherScopes := map[string]contextkey.Scope{
		"customer": {Salt: []byte("b"), Model: "m", WeightVersion: "v1", Adapter: "l"},
		"model":    {Salt: []byte("a"), Model: "n", WeightVersion: "v1", Adapter: "l"},
		"version":  {Salt: []byte("a"), Model: "m", WeightVersion: "v2", Adapter: "l"},
		"adapter":  {Salt: []byte("a"), Model: "m", WeightVersion: "v1", Adapter: "k"},
		"shifted":  {Salt: []byte("a"), Model: "mv", WeightVersion: "1", Adapter: "l"},
	}
	for name, scope := range otherScopes {
		for i, key := range contextkey.ChunkKeys(scope, text) {
			if key == baseKeys[i] {
				t.Errorf("scope with another %s: key %d is the same, want a different one", name, i)
			}
		}
	}
	changed := contextkey.ChunkKeys(base, "y"+text[1:])
	if changed[1] == baseKeys[1] {
		t.Error("key of the second chunk is the same after a change of the first, want a different one")
	}
	longer := contextkey.ChunkKeys(base, text+strings.Repeat("z", contextkey.ChunkBytes))
	if longer[1] != baseKeys[1] {
		t.Error("key of the second chunk differs after more text was appended, want the same")
	}
}

func FuzzParse(f *testing.F) {
	f.Add("00112233445566778899aabbccddeeff")
	f.Fuzz(func(t *testing.T, s string) {
		if k, ok := contextkey.Parse(s); ok && !strings.EqualFold(k.String(), s) {
			t.Errorf("Parse(%q): got key %q, want the same digits", s, k)
		}
	})
}

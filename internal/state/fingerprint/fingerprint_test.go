package fingerprint

import (
	"testing"

	"pgregory.net/rapid"
)

// TestEachFieldCounts guards against two requests that differ in one field only being taken for one.
func TestEachFieldCounts(t *testing.T) {
	base := Request{Customer: "a", Host: "h", Method: "GET", Target: "/x"}
	rows := map[string]Key{
		"base":                       Of(base, []byte("body")),
		"customer":                   Of(Request{Customer: "b", Host: "h", Method: "GET", Target: "/x"}, []byte("body")),
		"no customer":                Of(Request{Host: "h", Method: "GET", Target: "/x"}, []byte("body")),
		"host":                       Of(Request{Customer: "a", Host: "i", Method: "GET", Target: "/x"}, []byte("body")),
		"method":                     Of(Request{Customer: "a", Host: "h", Method: "PUT", Target: "/x"}, []byte("body")),
		"target":                     Of(Request{Customer: "a", Host: "h", Method: "GET", Target: "/x?"}, []byte("body")),
		"body":                       Of(base, []byte("bodies")),
		"a body of that length":      Of(base, []byte("BODY")),
		"no body":                    Of(base, nil),
		"end of one, begin of other": Of(Request{Customer: "ah", Host: "", Method: "GET", Target: "/x"}, []byte("body")),
		"body in target":             Of(Request{Customer: "a", Host: "h", Method: "GET", Target: "/xbody"}, nil),
	}
	seen := map[Key]string{}
	for name, key := range rows {
		if other, twice := seen[key]; twice {
			t.Errorf("%q and %q have one fingerprint", name, other)
		}
		seen[key] = name
	}
	if Of(base, []byte("body")) != rows["base"] {
		t.Error("the same request has two fingerprints")
	}
}

// TestKeyIsReadBack guards against an operator's key naming another request than the one shown.
func TestKeyIsReadBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := Of(Request{Target: rapid.String().Draw(t, "target")}, nil)
		back, ok := Parse(key.String())
		if !ok || back != key {
			t.Errorf("%s became %s, %v", key, back, ok)
		}
	})
	for _, text := range []string{"", "zz", "00", "000102030405060708090a0b0c0d0e0f10"} {
		if _, ok := Parse(text); ok {
			t.Errorf("%q is taken for a key", text)
		}
	}
}

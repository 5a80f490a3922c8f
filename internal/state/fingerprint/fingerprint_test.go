package fingerprint

import (
	"testing"

	"pgregory.net/rapid"
)

// TestEveryFieldChangesKey guards against two requests that differ in only one field having the same key.
func TestEveryFieldChangesKey(t *testing.T) {
	base := Request{Customer: "a", Host: "h", Method: "GET", Target: "/x"}
	keys := map[string]Key{
		"base":                      Of(base, []byte("body")),
		"customer":                  Of(Request{Customer: "b", Host: "h", Method: "GET", Target: "/x"}, []byte("body")),
		"no customer":               Of(Request{Host: "h", Method: "GET", Target: "/x"}, []byte("body")),
		"host":                      Of(Request{Customer: "a", Host: "i", Method: "GET", Target: "/x"}, []byte("body")),
		"method":                    Of(Request{Customer: "a", Host: "h", Method: "PUT", Target: "/x"}, []byte("body")),
		"target":                    Of(Request{Customer: "a", Host: "h", Method: "GET", Target: "/x?"}, []byte("body")),
		"body":                      Of(base, []byte("bodies")),
		"a body of that length":     Of(base, []byte("BODY")),
		"no body":                   Of(base, nil),
		"text moved between fields": Of(Request{Customer: "ah", Host: "", Method: "GET", Target: "/x"}, []byte("body")),
		"body in target":            Of(Request{Customer: "a", Host: "h", Method: "GET", Target: "/xbody"}, nil),
	}
	seen := map[Key]string{}
	for name, key := range keys {
		if other, duplicate := seen[key]; duplicate {
			t.Errorf("requests %q and %q have the same fingerprint, want different ones", name, other)
		}
		seen[key] = name
	}
	if Of(base, []byte("body")) != keys["base"] {
		t.Error("the same request has two different fingerprints, want the same")
	}
}

// TestParseRoundTrip guards against a key that an operator copies from a list identifying another request than the one
// listed.
func TestParseRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := Of(Request{Target: rapid.String().Draw(t, "target")}, nil)
		parsed, ok := Parse(key.String())
		if !ok || parsed != key {
			t.Errorf("Parse(%q): got %s, %v; want the same key, true", key, parsed, ok)
		}
	})
	for _, text := range []string{"", "zz", "00", "000102030405060708090a0b0c0d0e0f10"} {
		if _, ok := Parse(text); ok {
			t.Errorf("Parse(%q) accepted an invalid key", text)
		}
	}
}

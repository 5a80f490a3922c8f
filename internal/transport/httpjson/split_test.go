package httpjson_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"limpetwall/internal/transport/httpjson"
)

// TestElementsOfAnyDepth guards against a deeply nested element that keeps the others from being read.
func TestElementsOfAnyDepth(t *testing.T) {
	for _, pair := range []string{"[]", "{}"} {
		deep := strings.Repeat(pair[:1], 1_000_000) + strings.Repeat(pair[1:], 1_000_000)
		got, err := httpjson.Elements([]byte(` [ 1 ,"a]\"b" , ` + deep + ` ,{"a":[2]}, not JSON:1 ] `))
		if !errors.Is(err, httpjson.ErrSyntax) {
			t.Errorf("got %d elements, error %v; want a syntax error", len(got), err)
		}
		got, err = httpjson.Elements([]byte(` [ 1 ,"a]\"b" , ` + deep + ` ,{"a":[2]}, not ] `))
		if err != nil || len(got) != 5 {
			t.Fatalf("got %d elements, error %v; want 5", len(got), err)
		}
		for i, want := range []string{`1`, `"a]\"b"`, deep, `{"a":[2]}`, `not`} {
			if string(got[i]) != want {
				t.Errorf("element %d: got %.100s, want %.100s", i, got[i], want)
			}
		}
		members, err := httpjson.Members([]byte(`{"a":` + deep + `,"\u0062" : 2}`))
		if err != nil || len(members) != 2 || string(members["a"]) != deep || string(members["b"]) != "2" {
			t.Errorf("got %d members, error %v; want 2", len(members), err)
		}
	}
}

// TestSplitRefusesCutText guards against entries that are read from a part of an answer as if it were the whole.
func TestSplitRefusesCutText(t *testing.T) {
	const array, object = `[{"a":[1,"]"]},"x\"",2,null]`, `{"a":[1,"}"],"b":{"c":"\""},"d":2}`
	for end := range len(array) {
		if got, err := httpjson.Elements([]byte(array[:end])); err == nil {
			t.Errorf("%s: got %q", array[:end], got)
		}
	}
	for end := range len(object) {
		if got, err := httpjson.Members([]byte(object[:end])); err == nil {
			t.Errorf("%s: got %q", object[:end], got)
		}
	}
	for _, text := range []string{`[1]2`, `[1,]`, `[,1]`, `[1 2]`, `[1}`, `{"a":1}`, `"a"`, `7`} {
		if got, err := httpjson.Elements([]byte(text)); err == nil {
			t.Errorf("%s: got %q", text, got)
		}
	}
	for _, text := range []string{`{"a":1}2`, `{"a":1,}`, `{,"a":1}`, `{"a" 1}`, `{"a":}`, `{a:1}`, `{null:1}`, `{1:1}`, `{"a":1]`, `[1]`, `"a"`, `7`} {
		if got, err := httpjson.Members([]byte(text)); err == nil {
			t.Errorf("%s: got %q", text, got)
		}
	}
}

// FuzzSplit splits arrays and objects of any content: what encoding/json reads, must be split as it does.
func FuzzSplit(f *testing.F) {
	for _, seed := range []string{
		`null`, ` [ ] `, `{}`, `[1,-2.5e3,true,null,"a"]`, `[[[]],{"a":{"b":[1,{}]}}]`, `{"a":1,"a":[2],"\u0041\"":"\\"}`, `["\\","\"","]",",{"]`, "\t[\r\n1\n]",
		`{"items":[{"metadata":{"name":"i-1"}}],"has_more":false}`, `[1`, `{"a"`, `]`, ``, "[\"\xff\"]", "[\"\x00\"]",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		elements, err := httpjson.Elements(data)
		var wantElements []json.RawMessage
		if json.Unmarshal(data, &wantElements) == nil {
			if err != nil || len(elements) != len(wantElements) {
				t.Fatalf("%q: got %q, error %v; want %q", data, elements, err, wantElements)
			}
			for i, want := range wantElements {
				if !bytes.Equal(elements[i], want) {
					t.Errorf("%q, element %d: got %q, want %q", data, i, elements[i], want)
				}
			}
		}
		members, err := httpjson.Members(data)
		var wantMembers map[string]json.RawMessage
		if json.Unmarshal(data, &wantMembers) == nil {
			if err != nil || len(members) != len(wantMembers) {
				t.Fatalf("%q: got %q, error %v; want %q", data, members, err, wantMembers)
			}
			for name, want := range wantMembers {
				if !bytes.Equal(members[name], want) {
					t.Errorf("%q, member %q: got %q, want %q", data, name, members[name], want)
				}
			}
		}
	})
}

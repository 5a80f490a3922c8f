package httpjson

import (
	"bytes"
	"encoding/json"

	"github.com/juju/errors"
)

// ErrSyntax is returned for text whose strings, brackets and separators are not those of JSON.
const ErrSyntax = errors.ConstError("JSON has a syntax error")

// Elements returns the elements of a JSON array as they are written, none for null.
//
// An element may be nested to any depth, while encoding/json reads nothing of an answer in which one value is nested too deep.
// Only strings and brackets are looked at within an element: decoding it shows whether it is JSON.
func Elements(data []byte) ([]json.RawMessage, error) {
	s := splitter{rest: data}
	if s.takeNull() {
		return nil, nil
	}
	var out []json.RawMessage
	err := s.list('[', ']', func() error {
		element, err := s.value()
		out = append(out, element)
		return err
	})
	return out, err
}

// Members returns the members of a JSON object as they are written, none for null; of two with one name, the last. What Elements
// says of elements holds for their values.
func Members(data []byte) (map[string]json.RawMessage, error) {
	s := splitter{rest: data}
	if s.takeNull() {
		return nil, nil
	}
	out := map[string]json.RawMessage{}
	err := s.list('{', '}', func() error {
		quoted, err := s.value()
		if err != nil {
			return err
		}
		var name string
		if err := json.Unmarshal(quoted, &name); err != nil || quoted[0] != '"' || !s.take(':') {
			return ErrSyntax
		}
		out[name], err = s.value()
		return err
	})
	return out, err
}

// List is the out of a call whose answer is an array. Its elements are decoded one by one: one that can't be read must not take
// the others with it.
type List[E any] struct {
	Entries []E
	// Unreadable is the number of elements that could not be decoded, and Err why the first could not.
	Unreadable int
	Err        error
}

// DecodeBody implements BodyDecoder.
func (l *List[E]) DecodeBody(body []byte) error {
	elements, err := Elements(body)
	if err != nil {
		return err
	}
	for _, element := range elements {
		var entry E
		if err := json.Unmarshal(element, &entry); err != nil {
			if l.Unreadable++; l.Err == nil {
				l.Err = err
			}
			continue
		}
		l.Entries = append(l.Entries, entry)
	}
	return nil
}

// splitter finds the values in JSON text without recursion.
type splitter struct{ rest []byte }

// list reads a list in brackets to the end of the text; item reads one item of it.
func (s *splitter) list(opening, closing byte, item func() error) error {
	if !s.take(opening) {
		return ErrSyntax
	}
	if !s.take(closing) {
		for {
			if err := item(); err != nil {
				return err
			}
			if s.take(closing) {
				break
			}
			if !s.take(',') {
				return ErrSyntax
			}
		}
	}
	if s.skipSpace(); len(s.rest) > 0 {
		return ErrSyntax
	}
	return nil
}

func (s *splitter) skipSpace() { s.rest = bytes.TrimLeft(s.rest, " \t\r\n") }

// takeNull reports whether the text is null.
func (s *splitter) takeNull() bool { return string(bytes.Trim(s.rest, " \t\r\n")) == "null" }

// take reads c, after any space, and reports whether it is what comes next.
func (s *splitter) take(c byte) bool {
	s.skipSpace()
	if len(s.rest) == 0 || s.rest[0] != c {
		return false
	}
	s.rest = s.rest[1:]
	return true
}

// value reads one value.
func (s *splitter) value() (json.RawMessage, error) {
	s.skipSpace()
	for at, depth := 0, 0; at < len(s.rest); at++ {
		switch s.rest[at] {
		case '"':
			length := stringLength(s.rest[at:])
			if length == 0 {
				return nil, ErrSyntax
			}
			at += length - 1
			if depth == 0 {
				return s.cut(at + 1)
			}
		case '[', '{':
			depth++
		case ']', '}':
			if depth == 0 {
				return s.cut(at)
			}
			if depth--; depth == 0 {
				return s.cut(at + 1)
			}
		case ',', ':', ' ', '\t', '\r', '\n':
			if depth == 0 {
				return s.cut(at)
			}
		}
	}
	return nil, ErrSyntax
}

// cut reads the next length bytes as a value, which is not empty.
func (s *splitter) cut(length int) (json.RawMessage, error) {
	if length == 0 {
		return nil, ErrSyntax
	}
	value := s.rest[:length:length]
	s.rest = s.rest[length:]
	return json.RawMessage(value), nil
}

// stringLength returns the length of the string at the beginning of data, quotes included, or 0 if it does not end.
func stringLength(data []byte) int {
	for at := 1; at < len(data); at++ {
		switch data[at] {
		case '\\':
			at++
		case '"':
			return at + 1
		}
	}
	return 0
}

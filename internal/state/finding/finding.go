// Package finding collects the validation errors of an input with their places,
// so that all of them are reported together instead of one at a time.
package finding

import (
	"fmt"
	"strings"
)

// Finding is one validation error of an input.
type Finding struct {
	// Place is a JSON path ("$.put[2].spec.service") or a setting ("-listen").
	Place string `json:"place"`
	// Message says what is wrong and what would be accepted.
	Message string `json:"message"`
}

// List collects findings. Its zero value is ready for use.
type List struct {
	items []Finding
}

// Add records a finding at a place.
func (l *List) Add(place, format string, args ...any) {
	l.items = append(l.items, Finding{Place: place, Message: fmt.Sprintf(format, args...)})
}

// Items returns the findings in the order in which they were added.
func (l *List) Items() []Finding { return l.items }

// Err returns an *Error holding all findings, or nil if there are none.
func (l *List) Err() error {
	if len(l.items) == 0 {
		return nil
	}
	return &Error{Findings: l.items}
}

// Error reports all findings of one input together.
type Error struct {
	Findings []Finding
}

// Error returns the findings, one per line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Findings))
	for _, f := range e.Findings {
		lines = append(lines, f.Place+": "+f.Message)
	}
	return strings.Join(lines, "\n")
}

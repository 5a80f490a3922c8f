// Package finding collects the validation errors of an input with their places,
// so that all of them are reported together instead of one at a time.
package finding

import (
	"fmt"
	"slices"
	"strings"
)

// Finding is one validation error of an input.
type Finding struct {
	// Place is a JSON path ("$.put[2].spec.service") or a setting ("-listen").
	Place string `json:"place"`
	// Message says what is wrong and what would be accepted.
	Message string `json:"message"`
}

const (
	// maxFindings bounds the findings of one list: an input of a megabyte may have a defect in each of its bytes.
	maxFindings = 200
	// maxMessage bounds a finding's message, in bytes: it may quote the input.
	maxMessage = 1 << 10
)

// List collects findings, maxFindings at most. Its zero value is ready for use.
type List struct {
	items []Finding
	// dropped counts the findings beyond the bound.
	dropped int
}

// Add records a finding at a place.
func (l *List) Add(place, format string, args ...any) {
	if len(l.items) == maxFindings {
		l.dropped++
		return
	}
	message := fmt.Sprintf(format, args...)
	if len(message) > maxMessage {
		message = strings.ToValidUTF8(message[:maxMessage], "") + "..."
	}
	l.items = append(l.items, Finding{Place: place, Message: message})
}

// Items returns the findings in the order in which they were added. The last one counts those that were left out.
func (l *List) Items() []Finding {
	if l.dropped == 0 {
		return l.items
	}
	return append(slices.Clip(l.items), Finding{Place: "more", Message: fmt.Sprintf("%d further findings were left out", l.dropped)})
}

// Err returns an *Error holding all findings, or nil if there are none.
func (l *List) Err() error {
	if len(l.items) == 0 {
		return nil
	}
	return &Error{Findings: l.Items()}
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

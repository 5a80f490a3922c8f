package finding

import (
	"strings"
	"testing"
)

// TestListIsBounded guards against an input with a defect in each byte, whose findings take many times its size.
func TestListIsBounded(t *testing.T) {
	var l List
	for range maxFindings + 7 {
		l.Add("$.x", "%q is wrong", strings.Repeat("é", maxMessage))
	}
	items := l.Items()
	if len(items) != maxFindings+1 || items[maxFindings].Message != "7 further findings were left out" {
		t.Errorf("%d findings, the last %+v", len(items), items[len(items)-1])
	}
	for _, f := range items {
		if len(f.Message) > maxMessage+len("...") {
			t.Fatalf("a message of %d bytes", len(f.Message))
		}
	}
	if again := l.Items(); len(again) != maxFindings+1 {
		t.Errorf("%d findings when asked again", len(again))
	}
}

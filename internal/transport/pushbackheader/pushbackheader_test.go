package pushbackheader

import (
	"net/http"
	"testing"
)

func TestDecode(t *testing.T) {
	for text, want := range map[string]float64{"1.5": 1.5, "": 0, "0": 0, "-1": 0, "NaN": 0, "Inf": 0, "many": 0} {
		if got := Decode(http.Header{RateLimit: {text}}).RequestsPerSecond; got != want {
			t.Errorf("%q: got a limit of %g, want %g", text, got, want)
		}
	}
	h := http.Header{}
	sent := Asks{RequestsPerSecond: 0.25, Leaving: true}
	sent.Encode(h)
	if got := Decode(h); got != sent {
		t.Errorf("got %+v back from %v", got, h)
	}
}

package pushbackheader

import (
	"net/http"
	"testing"
	"time"
)

func TestDecode(t *testing.T) {
	for text, want := range map[string]float64{"1.5": 1.5, "": 0, "0": 0, "-1": 0, "NaN": 0, "Inf": 0, "many": 0} {
		if got := Decode(http.StatusOK, http.Header{RateLimit: {text}}).RequestsPerSecond; got != want {
			t.Errorf("%q: got a limit of %g, want %g", text, got, want)
		}
	}
	h := http.Header{}
	sent := Asks{RequestsPerSecond: 0.25, Leaving: true, RetryAfter: 1500 * time.Millisecond}
	sent.Encode(h)
	if got := Decode(http.StatusServiceUnavailable, h); got != sent {
		t.Errorf("got %+v back from %v", got, h)
	}
	if got := Decode(http.StatusOK, h); got.RetryAfter != 0 {
		t.Errorf("got rest for %v from an answer that turns nothing away", got.RetryAfter)
	}
	for _, text := range []string{"-1", "NaN", "soon"} {
		if got := Decode(http.StatusServiceUnavailable, http.Header{"Retry-After": {text}}); got.RetryAfter != 0 {
			t.Errorf("%q: got rest for %v, want none", text, got.RetryAfter)
		}
	}
}

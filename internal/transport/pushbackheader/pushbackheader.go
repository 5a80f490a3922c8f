// Package pushbackheader holds the headers by which the product's engines and plain services say in
// their answers what they ask for.
package pushbackheader

import (
	"math"
	"net/http"
	"strconv"
	"time"
)

const (
	// RateLimit is the number of requests a second, a decimal number, that the server accepts from all its
	// callers together, for as long as its answers say so.
	RateLimit = "Endpoint-Rate-Limit"
	// Leaving is 1 in all answers of a server that shuts down.
	Leaving = "Endpoint-Leaving"
	// retryAfter is in seconds; dates are not read.
	retryAfter = "Retry-After"
)

// Asks is what one answer asks for.
type Asks struct {
	// RequestsPerSecond is 0 if the answer names no limit.
	RequestsPerSecond float64
	// Leaving is set if the server shuts down.
	Leaving bool
	// RetryAfter is how long a server that turned a request away with 503 accepts no others, 0 if the
	// answer does not say so.
	RetryAfter time.Duration
}

// maxRetryAfter bounds the time for which an answer can keep requests away.
const maxRetryAfter = 10 * time.Minute

// Decode reads what an answer asks for. What is not a positive number asks for nothing.
func Decode(status int, h http.Header) Asks {
	a := Asks{Leaving: h.Get(Leaving) == "1"}
	if rate, err := strconv.ParseFloat(h.Get(RateLimit), 64); err == nil && rate > 0 && !math.IsInf(rate, 0) {
		a.RequestsPerSecond = rate
	}
	seconds, err := strconv.ParseFloat(h.Get(retryAfter), 64)
	if err == nil && seconds > 0 && status == http.StatusServiceUnavailable {
		a.RetryAfter = time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
	}
	return a
}

// Encode writes what an answer asks for.
func (a Asks) Encode(h http.Header) {
	if a.RequestsPerSecond > 0 {
		h.Set(RateLimit, strconv.FormatFloat(a.RequestsPerSecond, 'g', -1, 64))
	}
	if a.Leaving {
		h.Set(Leaving, "1")
	}
	if a.RetryAfter > 0 {
		h.Set(retryAfter, strconv.FormatFloat(a.RetryAfter.Seconds(), 'g', -1, 64))
	}
}

// Transport passes on what each answer asks for.
type Transport struct {
	Next http.RoundTripper
	// Observe is called before the answer to a request is returned that was sent at a time. Set it before
	// use.
	Observe func(a Asks, sent time.Time)
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	sent := time.Now()
	resp, err := t.Next.RoundTrip(r)
	if err == nil {
		t.Observe(Decode(resp.StatusCode, resp.Header), sent)
	}
	return resp, err
}

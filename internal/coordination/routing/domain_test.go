package routing

import "testing"

// TestLocalDomainPreferredUnlessQueued decides between an endpoint of the process's own failure
// domain and one of another, first with both idle and then with a queue at the local one.
func TestLocalDomainPreferredUnlessQueued(t *testing.T) {
	e, r := newEndpoints(2), newRequest()
	e[0].Domain = "far"
	r.CrossDomainPenalty = 0.02
	for range 20 {
		if v := Decide(e, r, newRandom()); v.Endpoint.ID != e[1].ID {
			t.Fatal("the idle endpoint of the local domain was not chosen")
		}
	}
	e[1].Load.QueuedTokens = 1000
	if v := Decide(e, r, newRandom()); v.Endpoint.ID != e[0].ID {
		t.Error("a local endpoint with a queue of 100 ms was chosen over an idle one in another domain")
	}
}

package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"limpetwall/internal/coordination/discovery"
	"limpetwall/internal/state/routes"
)

// swapper changes what a gateway believes, again and again, until it is ended.
type swapper struct {
	site     *site
	revision uint64
}

// routes puts in force a configuration in which the route leads to the service, without it, without the customer, or
// with the service as one of engines.
func (w *swapper) routes(n int) {
	list := route(routes.Idempotent, 3)
	services := []routes.Service{{Name: "s"}, {Name: "other"}}
	customers := []routes.Customer{{Name: "club", Keys: []string{"key"}}}
	switch n % 5 {
	case 1:
		list, services = nil, nil
	case 2:
		list[0].Targets[0].Service = "other"
	case 3:
		customers = nil
	case 4:
		services[0].Engine = &routes.Engine{Slots: 4}
	}
	w.site.gateway.State.SetRoutes(routes.New(w.revision, w.revision, list, services, customers, routes.Limits{HeaderBytes: 4096, BodyBytes: 1 << 20}))
}

// instance has an endpoint listed, leaving, of another service, restarted or gone.
func (w *swapper) instance(n int) {
	state := w.site.gateway.State
	e := w.site.endpoints[n%len(w.site.endpoints)]
	i := discovery.Instance{ID: e.id, Revision: w.revision, Service: "s", Address: e.address, Domain: "a", Slots: 4}
	switch n % 7 {
	case 1:
		i.Leaving = true
	case 2:
		i.Service = "other"
	case 3:
		i.Born = int64(w.revision)
	case 4:
		i.Model, i.Weights = "m", 1
	case 5:
		state.Remove(e.id, false, time.Now())
		return
	case 6:
		state.Misdirected(e.id)
	}
	state.SetInstance(i)
}

func (w *swapper) swap(n int) {
	w.revision++
	w.routes(n)
	w.revision++
	w.instance(n)
	w.site.gateway.sync(nil)
	w.site.gateway.Pool.Forget(w.site.endpoints[n%len(w.site.endpoints)].address)
}

// TestSwappedTablesAnswerEveryCaller guards against a connection closed without an answer as the configuration or the
// endpoints change under a request.
func TestSwappedTablesAnswerEveryCaller(t *testing.T) {
	plays := []answerer{say(200, "whole"), say(500, "sorry"), keepAlive(hangUp), hangUp, reject, raw("200 OK", "", "whole")}
	s := newSite(t, route(routes.Idempotent, 3), plays...)
	s.gateway.Keeper = newKeeper()
	guard := s.guarded()
	done := make(chan struct{})
	var swaps, callers sync.WaitGroup
	swaps.Go(func() {
		w := swapper{site: s, revision: 100}
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			default:
				w.swap(n)
			}
		}
	})
	for caller := range 6 {
		callers.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for n := range 150 {
				id := fmt.Sprint("id-", caller, "-", n)
				req := s.request("PUT", "/r/x", "order", testID+": "+id, testLeft+": 20000")
				if n%3 == 0 {
					req.Header.Set(testPart, "part")
				}
				resp, err := client.Do(req)
				if err != nil {
					t.Errorf("%s: %v", id, err)
					continue
				}
				body, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				if got := resp.Header.Get(testID); err != nil || got != id || len(body) == 0 {
					t.Errorf("%s: status %d to %q, %q, %v", id, resp.StatusCode, got, body, err)
				}
				if resp.StatusCode == 200 && string(body) != "whole" && !strings.HasPrefix(string(body), "data: first") {
					t.Errorf("%s: %q", id, body)
				}
			}
		})
	}
	callers.Wait()
	close(done)
	swaps.Wait()
	s.gateway.crashProbes.settled(t)
	if !guard.IsIdle() {
		t.Error("a request is blamed for a crash, and none crashed")
	}
	for _, work := range s.gateway.Directory.OwnWork() {
		if work.Running != 0 {
			t.Errorf("%d runs stay booked", work.Running)
		}
	}
}

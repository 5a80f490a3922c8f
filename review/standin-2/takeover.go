package main

import (
	"encoding/hex"
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	// leaseTime is lease_ms of the settings.
	leaseTime = 3 * time.Second
	// loadTime is how long new weights take a server.
	loadTime = 900 * time.Millisecond
	// restartDelay is the time after which a killed process is started again.
	restartDelay = 50 * time.Millisecond
	// refusedFor is how long the store turns the holder's machine away.
	refusedFor = 7 * time.Second
	rounds     = 7
)

// takeover is the case of a successor that is killed right after it has taken the lease over.
type takeover struct {
	rec      *record
	store    *store
	gateways []*gateway

	mu      sync.Mutex
	version int64
	orders  []order
	// lastWriter is the machine that last wrote the lease; wrote receives each writer.
	lastWriter string
	wrote      chan string
}

// leaseName is the name of the lease's object: the key "lease.rollout".
var leaseName = "k" + hex.EncodeToString([]byte("lease.rollout"))

func (t *takeover) name(version int64) {
	t.mu.Lock()
	t.version = version
	t.mu.Unlock()
	t.store.put("versions", modelName, map[string]any{"model": modelName, "version": version})
	t.rec.printf("operator names version %d", version)
}

func (t *takeover) onWrite(machine, kind, name string) {
	if name != leaseName {
		return
	}
	t.mu.Lock()
	changed := t.lastWriter != machine
	t.lastWriter = machine
	t.mu.Unlock()
	if changed {
		t.rec.printf("machine %s writes the lease for the first time after another", machine)
	}
	select {
	case t.wrote <- machine:
	default:
	}
}

func (t *takeover) onOrder(o order) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.orders = append(t.orders, o)
}

// awaitOrder waits for an accepted order of a version.
func (t *takeover) awaitOrder(version int64, timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		t.mu.Lock()
		for _, o := range t.orders {
			if o.version == version {
				t.mu.Unlock()
				return true
			}
		}
		t.mu.Unlock()
	}
	return false
}

func (t *takeover) holder() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastWriter
}

func (t *takeover) gateway(name string) *gateway {
	for _, g := range t.gateways {
		if g.name == name {
			return g
		}
	}
	return nil
}

// round names three versions. With the trouble, the store turns the holder's machine away while it orders, and the process that
// takes the lease over is killed right after its write and started again.
func (t *takeover) round(first int64, trouble bool) {
	t.name(first)
	if !t.awaitOrder(first, 5*time.Second) {
		t.rec.printf("no order came")
		return
	}
	began := time.Now()
	time.Sleep(600 * time.Millisecond)
	t.name(first + 1)
	time.Sleep(40 * time.Millisecond)
	holder := t.holder()
	if trouble {
		t.store.refuse(holder, true)
		t.rec.printf("store turns machine %s away with 503", holder)
		time.AfterFunc(refusedFor, func() {
			t.store.refuse(holder, false)
			t.rec.printf("store serves machine %s again", holder)
		})
	}
	time.Sleep(time.Until(began.Add(2500 * time.Millisecond)))
	t.name(first + 2)
	if trouble {
		t.killSuccessor(holder)
	}
	time.Sleep(time.Until(began.Add(12 * time.Second)))
}

func (t *takeover) killSuccessor(holder string) {
	timeout := time.After(8 * time.Second)
	for {
		select {
		case machine := <-t.wrote:
			if machine == holder {
				continue
			}
			g := t.gateway(machine)
			g.kill()
			t.rec.printf("process on machine %s is killed", machine)
			time.Sleep(restartDelay)
			g.start()
			t.rec.printf("process on machine %s is started again", machine)
			return
		case <-timeout:
			t.rec.printf("no other machine took the lease over")
			return
		}
	}
}

// judge returns the orders to one server by which two holders took turns within the lease, or bore tokens out of order.
func (t *takeover) judge() (broken int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	last, highest := map[string]order{}, map[string]order{}
	for _, o := range t.orders {
		if before, ok := last[o.server]; ok && before.holder != o.holder && o.at.Sub(before.at) < leaseTime {
			broken++
			t.rec.printf("BROKEN: server %s had an order of %s (version %d, token %d) and %d ms later one of %s (version %d, token %d)", o.server,
				before.holder, before.version, before.fence, o.at.Sub(before.at).Milliseconds(), o.holder, o.version, o.fence)
		}
		if top, ok := highest[o.server]; ok && o.holder != top.holder && o.fence <= top.fence {
			broken++
			t.rec.printf("BROKEN: server %s had token %d of %s after token %d of %s", o.server, o.fence, o.holder, top.fence, top.holder)
		}
		last[o.server] = o
		if o.fence >= highest[o.server].fence {
			highest[o.server] = o
		}
	}
	return broken
}

func runTakeover(folder string, trouble bool) int {
	dir, err := os.MkdirTemp("", "takeover")
	must(err)
	defer os.RemoveAll(dir)
	rec := newRecord(folder + "/record.txt")
	t := &takeover{rec: rec, store: newStore(), version: 1, wrote: make(chan string, 64)}
	t.store.onWrite = t.onWrite
	const service = "huvo11a"
	t.store.put("config", "main", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-1", "host": "pule25.example", "path_prefix": "/puxa400/", "kind": "streaming", "timeout_ms": 12000, "target_latency_ms": 1200, "priority": 2,
			"service": service, "max_attempts": 2, "public": true, "sticky": true, "resumable": true, "target_gap_ms": 600,
		}},
		"services": []any{map[string]any{
			"name": service, "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kv_capacity_tokens": 93455, "kv_token_bytes": 18432, "link_mbps": 180000.0, "max_inflight": 12, "models": []any{map[string]any{"name": modelName}}},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	t.name(1)
	for n, zone := range []string{"quebec-a", "quebec-b", "quebec-c"} {
		m := newModelServer(fmt.Sprintf("i-%d7f3a91c", n+1), service, zone, 210+n, t.store, rec, loadTime)
		m.onOrder = t.onOrder
		m.named = func(version int64) bool {
			t.mu.Lock()
			defer t.mu.Unlock()
			return version <= t.version
		}
	}
	for n, zone := range []string{"quebec-a", "quebec-a", "quebec-b", "quebec-c"} {
		g := newGateway(n+1, dir, t.store, zone)
		t.gateways = append(t.gateways, g)
		g.start()
	}
	defer stopAll()
	for _, g := range t.gateways {
		if !g.awaitReady(10 * time.Second) {
			rec.printf("machine %s is not ready", g.name)
			return exitCannotRun
		}
	}
	time.Sleep(4 * time.Second)
	for n := range rounds {
		t.round(int64(2+3*n), trouble)
	}
	broken := t.judge()
	rec.printf("orders: %d, broken: %d", len(t.orders), broken)
	switch {
	case len(t.orders) == 0:
		return exitCannotRun
	case broken > 0:
		return 1
	}
	return 0
}

package main

import (
	"fmt"
	"time"
)

// playIsolation: a tenant becomes isolated by a new configuration. The parts of its prompts that were cached before must
// not serve another tenant after that.
func playIsolation(trouble bool, dir string) {
	store := newMetaStore()
	before := []tenant{{"tenant-a", []string{"key-a"}, false}, {"tenant-b", []string{"key-b"}, false}, {"tenant-c", []string{"key-c"}, true}}
	store.put("config", "main", configuration(10, before, nil))
	store.put("versions", model, map[string]any{"model": model, "version": 1})
	engines := []*engine{newEngine("i-1", "z-a", "llm", model, store, nil), newEngine("i-2", "z-a", "llm", model, store, nil)}
	g := startGateway(1, "z-a", store, dir, standardBounds())
	g.awaitReady()
	time.Sleep(6 * time.Second)

	shared := "5c1e07a2:2000,91bd3f06:410"
	for i := range 3 {
		g.send(prompt{"tenant-a", "key-a", fmt.Sprintf("%s,a%07x:250", shared, i)})
	}
	isolatedFrom := time.Now()
	if trouble {
		after := append([]tenant(nil), before...)
		after[0].Isolated = true
		revision := store.put("config", "main", configuration(17, after, nil))
		isolatedFrom = time.Now()
		note("the store acknowledges version 17 at revision %d: tenant-a is isolated", revision)
	}
	// Twice the time after which a configuration is in force.
	time.Sleep(4 * time.Second)
	for i := range 6 {
		g.send(prompt{"tenant-b", "key-b", fmt.Sprintf("%s,b%07x:250", shared, i)})
		g.send(prompt{"tenant-c", "key-c", fmt.Sprintf("%s,c%07x:250", shared, i)})
	}
	isolated := map[string]bool{"tenant-a": trouble, "tenant-c": true}
	foreign, served := 0, 0
	for _, e := range engines {
		e.mu.Lock()
		served += e.runs
		for _, u := range e.uses {
			if u.at.Before(isolatedFrom.Add(2*time.Second)) || u.tenant == u.madeBy || (!isolated[u.tenant] && !isolated[u.madeBy]) {
				continue
			}
			foreign++
			note("%s: request %s of %s used part %s, made by request %s of %s under salt %q", e.id, u.attempt, u.tenant, u.part, u.maker, u.madeBy, u.salt)
		}
		e.mu.Unlock()
	}
	if served < 15 {
		cannotRun("only %d requests were run", served)
	}
	verdict(foreign > 0, "WALL: %d uses of KV cache across the wall of an isolated tenant, %d requests run", foreign, served)
}

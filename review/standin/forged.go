package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// heartbeat is the interval at which servers write their entries.
const heartbeat = 1200 * time.Millisecond

// playForged: another writer overwrites the entry of a model server and leaves out its models, just before a gateway
// starts. Such an entry names no server to use.
func playForged(trouble bool, dir string) {
	const contexts = 12
	store := newMetaStore()
	tenants := []tenant{{"tenant-a", []string{"key-a"}, false}, {"tenant-c", []string{"key-c"}, true}}
	store.put("config", "main", configuration(10, tenants, nil))
	store.put("versions", model, map[string]any{"model": model, "version": 1})
	engines := []*engine{newEngine("i-1", "z-a", "llm", model, store, nil), newEngine("i-2", "z-a", "llm", model, store, nil)}
	first := startGateway(1, "z-a", store, dir, standardBounds())
	first.awaitReady()
	time.Sleep(time.Second)
	ask := func(g *gateway) {
		var callers sync.WaitGroup
		for i := range contexts {
			callers.Go(func() { g.send(prompt{"tenant-a", "key-a", fmt.Sprintf("5c%06x:650,a%07x:17", i, attempts.Load())}) })
			callers.Go(func() { g.send(prompt{"tenant-c", "key-c", fmt.Sprintf("5c%06x:650,c%07x:17", i, attempts.Load())}) })
		}
		callers.Wait()
	}
	ask(first)
	first.cmd.Process.Signal(syscall.SIGTERM)
	note("%s gets SIGTERM", first.name)
	<-first.exited
	for _, e := range engines {
		e.list()
	}
	if trouble {
		store.put("servers", "i-1", engines[0].entryWithoutModels())
		note("another writer overwrites the entry of i-1 without its models")
	}
	beat := time.AfterFunc(heartbeat, func() {
		engines[0].list()
		note("i-1 writes its entry again")
	})
	defer beat.Stop()
	second := first.restart(dir)
	second.awaitReady()
	ask(second)
	time.Sleep(2 * heartbeat)
	ask(second)
	foreign, served, unsalted := 0, 0, 0
	for _, e := range engines {
		e.mu.Lock()
		served += e.runs
		unsalted += e.unsalted
		for _, u := range e.uses {
			if u.tenant != u.madeBy {
				foreign++
				note("%s: request %s of %s used part %s, made by request %s of %s under salt %q", e.id, u.attempt, u.tenant, u.part, u.maker, u.madeBy, u.salt)
			}
		}
		e.mu.Unlock()
	}
	if served < 2*contexts {
		cannotRun("only %d requests were run", served)
	}
	verdict(foreign > 0, "WALL: %d uses of KV cache across the wall of an isolated tenant; %d requests run, %d of them without a salt", foreign, served, unsalted)
}

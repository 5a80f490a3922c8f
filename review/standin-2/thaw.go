package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// freezes is how many freezes a run has, each of freezeTime.
	freezes    = 10
	freezeTime = 1500 * time.Millisecond
	// crashAfter is the time from the begin of a freeze to a server's crash, and downTime how long that server is down.
	crashAfter = 100 * time.Millisecond
	downTime   = 500 * time.Millisecond
)

// runThaw is the case of a server that crashes and starts again while the gateway that reads its answer is frozen.
func runThaw(folder string, trouble bool) int {
	dir, err := os.MkdirTemp("", "thaw")
	must(err)
	defer os.RemoveAll(dir)
	u := &unframed{rec: newRecord(folder + "/record.txt")}
	s := newStore()
	const service = "kafi81c"
	putAppConfig(s, service)
	number := 0
	newServer := func(zone, address string) *appServer {
		number++
		a := startAppServer(fmt.Sprintf("i-%02d9046ff", number), address, zone)
		a.register(s, service, "ready")
		u.rec.printf("server %s starts at %s", a.id, a.address)
		return a
	}
	var servers []*appServer
	for n, zone := range []string{"quebec-a", "quebec-b", "quebec-c"} {
		servers = append(servers, newServer(zone, freeAddress(machineIP(210+n))))
	}
	defer stopAll()
	for n, zone := range []string{"quebec-a", "quebec-b"} {
		g := newGateway(n+1, dir, s, zone)
		u.gateways = append(u.gateways, g)
		g.start()
	}
	for _, g := range u.gateways {
		if !g.awaitReady(10 * time.Second) {
			return exitCannotRun
		}
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range 16 {
		clients.Go(func() { u.client(u.gateways[n%len(u.gateways)], n, stop) })
	}
	time.Sleep(2 * time.Second)
	for n := range freezes {
		g := u.gateways[n%len(u.gateways)]
		if trouble {
			g.cmd.Process.Signal(syscall.SIGSTOP)
			u.rec.printf("machine %s freezes", g.name)
			time.Sleep(crashAfter)
			crashed := servers[n%len(servers)]
			crashed.cmd.Process.Kill()
			crashed.cmd.Wait()
			u.rec.printf("server %s crashes", crashed.id)
			// The entry of a server that has crashed is removed after three heartbeat intervals.
			time.AfterFunc(3600*time.Millisecond, func() { s.remove("servers", crashed.id) })
			time.Sleep(downTime)
			servers[n%len(servers)] = newServer(crashed.zone, crashed.address)
			time.Sleep(freezeTime - crashAfter - downTime)
			g.cmd.Process.Signal(syscall.SIGCONT)
			u.rec.printf("machine %s wakes", g.name)
		}
		time.Sleep(4 * time.Second)
	}
	close(stop)
	clients.Wait()
	return u.verdict()
}

package versiongossip

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"limpetwall/internal/coordination/discovery"
	"limpetwall/internal/protocol/wire"
	"limpetwall/internal/transport/datagram"
	"limpetwall/internal/transport/sleep"
)

const (
	// askInterval is the time between two messages of a process that does not know the age of a version,
	// each to askHosts others.
	askInterval = 100 * time.Millisecond
	askHosts    = 3
	// compareRounds of askInterval pass between two messages of a process that knows all ages, each to one other.
	compareRounds = 5
	// maxAges bounds the ages in one message, so that it fits in a datagram.
	maxAges = 20
)

// Exchanger exchanges ages with other processes. Its fields are set before Run.
type Exchanger struct {
	Group *datagram.Socket
	// Hosts lists the other processes, of all failure domains.
	Hosts func() []netip.Addr
	State *discovery.State
	Log   *zap.Logger
}

// Run exchanges ages until ctx ends.
func (e *Exchanger) Run(ctx context.Context) {
	received := make(chan struct{})
	go func() {
		defer close(received)
		e.channel().Receive(ctx, e.receive)
	}()
	for round := 0; sleep.For(ctx, askInterval); round++ {
		if pending := e.State.PendingVersionAges(); len(pending) > 0 {
			e.ask(pending, round)
		}
	}
	<-received
}

// ask sends the ages that some endpoint is judged by to a few others, which answer if they know more.
func (e *Exchanger) ask(pending []discovery.VersionAge, round int) {
	hosts := 0
	switch {
	case e.State.LacksVersionAges():
		hosts = askHosts
	case round%compareRounds == 0:
		hosts = 1
	}
	e.send(pending, true, datagram.Sample(slices.Clone(e.Hosts()), hosts))
}

func (e *Exchanger) channel() *datagram.Channel[wire.VersionReport, *wire.VersionReport] {
	return &datagram.Channel[wire.VersionReport, *wire.VersionReport]{Socket: e.Group, Kind: "report of version ages", Log: e.Log}
}

func (e *Exchanger) send(ages []discovery.VersionAge, asks bool, hosts []netip.Addr) {
	if len(hosts) == 0 {
		return
	}
	for part := range slices.Chunk(ages, maxAges) {
		e.channel().Send(&wire.VersionReport{Ages: agesToWire(part), Asks: asks}, hosts)
	}
}

func (e *Exchanger) receive(m *wire.VersionReport, from netip.Addr) {
	reported := agesFromWire(m.GetAges())
	e.State.MergeVersionAges(reported)
	if m.GetAsks() && e.State.KnowsMoreThan(reported) {
		e.send(e.State.PendingVersionAges(), false, []netip.Addr{from})
	}
}

func agesToWire(ages []discovery.VersionAge) []*wire.VersionAge {
	out := make([]*wire.VersionAge, 0, len(ages))
	for _, a := range ages {
		out = append(out, &wire.VersionAge{Model: a.Model, Version: a.Version, AgeMs: uint64(a.AgeMS), Exact: a.IsExact, Replaces: a.Replaces})
	}
	return out
}

func agesFromWire(ages []*wire.VersionAge) []discovery.VersionAge {
	out := make([]discovery.VersionAge, 0, len(ages))
	for _, a := range ages {
		out = append(out, discovery.VersionAge{
			Model: a.GetModel(), Version: a.GetVersion(), AgeMS: int64(a.GetAgeMs()), IsExact: a.GetExact(), Replaces: a.GetReplaces(),
		})
	}
	return out
}

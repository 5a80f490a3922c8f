package rpc

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// TestLimitClosesTheSilentPeer guards against connections that say nothing and keep peers from connecting.
func TestLimitClosesTheSilentPeer(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	registry := metrics.NewRegistry()
	l := Limit(Linger(inner, time.Second), 2, zap.NewNop(), registry)
	defer l.Close()
	connect := func() (mine, theirs net.Conn) {
		mine, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { mine.Close() })
		if theirs, err = l.Accept(); err != nil {
			t.Fatal(err)
		}
		return mine, theirs
	}
	speaking, heard := connect()
	silent, _ := connect()
	io.WriteString(speaking, "x")
	if _, err := heard.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	newest, theirs := connect()
	if _, err := silent.Read(make([]byte, 1)); err == nil {
		t.Error("the silent connection is open")
	}
	for name, c := range map[string][2]net.Conn{"the one that speaks": {heard, speaking}, "the new one": {theirs, newest}} {
		io.WriteString(c[0], "y")
		if _, err := c[1].Read(make([]byte, 1)); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	if n := metrics.GetOrRegisterCounter("peers.conns_evicted", registry).Snapshot().Count(); n != 1 {
		t.Errorf("%d connections evicted, want 1", n)
	}
	theirs.Close()
	connect()
	if _, err := heard.Write([]byte("z")); err != nil {
		t.Errorf("a connection was closed below the limit: %v", err)
	}
}

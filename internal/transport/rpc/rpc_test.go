package rpc_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/juju/errors"

	"limpetwall/internal/transport/rpc"
)

// TestWaitReady reaches a server, one that is gone, one that comes back, and one
// that accepts but never answers.
//
// A caller is told "not reached" exactly where nothing can have been sent, and a
// peer that is back is reached although its connection had failed before.
func TestWaitReady(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	server := rpc.NewServer(nil)
	go server.Serve(listener)
	pool := rpc.NewPool(nil)
	defer pool.Close()
	if err := pool.WaitReady(t.Context(), address); err != nil {
		t.Errorf("a server: %v", err)
	}
	server.Stop()
	for !errors.Is(pool.WaitReady(t.Context(), address), rpc.ErrNotReached) {
		// The pool may still hold the connection that is just closing.
		time.Sleep(time.Millisecond)
	}
	listener, err = net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	again := rpc.NewServer(nil)
	go again.Serve(listener)
	defer again.Stop()
	if err := pool.WaitReady(t.Context(), address); err != nil {
		t.Errorf("a server that is back: %v", err)
	}
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if err := pool.WaitReady(ctx, silent.Addr().String()); !errors.Is(err, rpc.ErrNotReached) {
		t.Errorf("a silent peer: %v", err)
	}
}

// TestStopBeforeServeIsNotReached guards against a run that counts as sent to a peer that stops before it serves.
func TestStopBeforeServeIsNotReached(t *testing.T) {
	for range 20 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server, pool := rpc.NewServer(nil), rpc.NewPool(nil)
		waited := make(chan error, 1)
		go func() { waited <- pool.WaitReady(t.Context(), listener.Addr().String()) }()
		server.GracefulStop()
		server.Serve(rpc.Linger(listener, time.Second))
		if err := <-waited; !errors.Is(err, rpc.ErrNotReached) {
			t.Errorf("got %v, want %v", err, rpc.ErrNotReached)
		}
		pool.Close()
	}
}

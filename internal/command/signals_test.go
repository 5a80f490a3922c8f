package command

import (
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// TestReloadsDoNotCostTheStop guards against a SIGTERM that is dropped because unread SIGHUPs fill its
// channel: the process would be killed at the end of its grace period with requests in flight.
func TestReloadsDoNotCostTheStop(t *testing.T) {
	all := make(chan os.Signal, 10)
	signal.Notify(all, syscall.SIGTERM, syscall.SIGHUP)
	defer signal.Reset(syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	signals := NotifySignals()
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM} {
		// One at a time: the kernel and the runtime merge equal pending signals.
		if err := syscall.Kill(os.Getpid(), s); err != nil {
			t.Fatal(err)
		}
		<-all
	}
	stop := signals.watch()
	select {
	case <-stop.Graceful:
	case <-time.After(10 * time.Second):
		t.Fatal("the stop is lost")
	}
	select {
	case <-stop.Reload:
	case <-time.After(10 * time.Second):
		t.Error("the reload is lost")
	}
	select {
	case <-stop.Now:
		t.Error("a single SIGTERM stops at once")
	default:
	}
}

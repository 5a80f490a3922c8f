package command

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals that a process is sent.
type Signals struct {
	// Stop receives SIGTERM and SIGINT, Reload SIGHUP. They are separate channels because os/signal drops
	// signals when a channel is full: a burst of SIGHUPs must not drop a SIGTERM.
	Stop, Reload <-chan os.Signal
}

// stopSignals is the number of signals that matter: the first requests a graceful stop, the second an immediate one.
const stopSignals = 2

// NotifySignals starts to receive the process's signals. They are buffered until they are read.
func NotifySignals() Signals {
	stop, reload := make(chan os.Signal, stopSignals), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	return Signals{Stop: stop, Reload: reload}
}

// watch translates the first stop signal into a graceful stop, the second into an immediate one, and
// SIGHUP into a reload.
func (s Signals) watch() Stop {
	graceful, now := make(chan struct{}), make(chan struct{})
	go func() {
		<-s.Stop
		close(graceful)
		<-s.Stop
		close(now)
	}()
	return Stop{Graceful: graceful, Now: now, Reload: s.Reload}
}

package command

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals that a process is sent.
type Signals struct {
	// Stop has SIGTERM and SIGINT, Reload SIGHUP. They are apart because os/signal drops what
	// finds a channel full: a burst of SIGHUPs must not cost the process its SIGTERM.
	Stop, Reload <-chan os.Signal
}

// stopSignals counts: the first asks for a graceful stop, the second for an immediate one.
const stopSignals = 2

// NotifySignals takes the process's signals from now on; they wait until somebody reads them.
func NotifySignals() Signals {
	stop, reload := make(chan os.Signal, stopSignals), make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	return Signals{Stop: stop, Reload: reload}
}

// watch turns the first signal to stop into a graceful stop and the second into an immediate
// one. SIGHUP asks for a reload.
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

// Command limpetwall runs the serving system's processes.
package main

import (
	"os"
	"os/signal"
	"syscall"

	"limpetwall/internal/command"
)

func main() {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	os.Exit(command.Main(os.Args[1:], command.IO{
		Out: os.Stdout, Err: os.Stderr, Env: os.LookupEnv, Signals: signals,
	}))
}

// Command limpetwall runs the serving system's processes.
package main

import (
	"os"

	"limpetwall/internal/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:], command.IO{
		Out: os.Stdout, Err: os.Stderr, Env: os.LookupEnv, Signals: command.NotifySignals(),
	}))
}

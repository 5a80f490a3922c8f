// Command standin2 plays the scripted cases of the second review: it is the platform's store, its servers, its clients and its
// operator, and starts the gateways.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) == 4 && os.Args[1] == "server" {
		os.Exit(runAppServer(os.Args[2], os.Args[3]))
	}
	if len(os.Args) == 4 && os.Args[1] == "streamserver" {
		os.Exit(runStreamServer(os.Args[2], os.Args[3]))
	}
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER, in the repository's root")
		os.Exit(exitCannotRun)
	}
	cases := map[string]func(folder string, trouble bool) int{"takeover": runTakeover, "unframed": runUnframed, "thaw": runThaw, "exit": runExit}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(exitCannotRun)
	}
	os.Exit(run(os.Args[2], os.Getenv("TROUBLE") != "0"))
}

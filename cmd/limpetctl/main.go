// Command limpetctl is the operators' command line.
package main

import (
	"os"

	"limpetwall/internal/operatorcli"
)

func main() {
	os.Exit(operatorcli.Main(os.Args[1:], operatorcli.Surroundings{Out: os.Stdout, Err: os.Stderr, Env: os.LookupEnv}))
}

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	must(err)
	return &record{file: f, began: time.Now()}
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// exitCannotRun is the exit code of a case that could not run.
const exitCannotRun = 2

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "case could not run:", err)
		stopAll()
		os.Exit(exitCannotRun)
	}
}

package ingresstest

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// Runner builds the product once for the tests of a package, and removes it after them. A test binary's memory is no measure of
// the product's: under the race detector, it is a multiple.
type Runner struct {
	*testing.M
	// Build writes the product to a path.
	Build func(path string) error
}

var program = func() (string, error) { return "", errors.New("the package has no Runner") }

// Run implements testscript.TestingM.
func (r Runner) Run() int {
	var dir string
	program = sync.OnceValues(func() (path string, err error) {
		if dir, err = os.MkdirTemp("", "limpetwall-unruly"); err != nil {
			return "", err
		}
		path = filepath.Join(dir, "limpetwall")
		return path, r.Build(path)
	})
	defer func() {
		if dir != "" {
			os.RemoveAll(dir)
		}
	}()
	return r.M.Run()
}

// Program returns the path of the built product.
func Program(t *testing.T) string {
	path, err := program()
	if err != nil {
		t.Fatal(err)
	}
	return path
}

// Usage follows what a process uses.
type Usage struct {
	pid         int
	stop        chan struct{}
	done        sync.WaitGroup
	descriptors int
}

// usagePoll is how often the open descriptors are counted.
const usagePoll = 20 * time.Millisecond

// Watch follows a process until End.
func Watch(pid int) *Usage {
	u := &Usage{pid: pid, stop: make(chan struct{})}
	u.done.Go(func() {
		for {
			if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
				u.descriptors = max(u.descriptors, len(entries))
			}
			select {
			case <-u.stop:
				return
			case <-time.After(usagePoll):
			}
		}
	})
	return u
}

// End returns the most memory, in bytes, that the process has had since its start, 0 if it is gone, and the most open
// descriptors that were seen.
func (u *Usage) End() (memory, descriptors int) {
	close(u.stop)
	u.done.Wait()
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", u.pid))
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, _ := strconv.Atoi(strings.Fields(value)[0])
			memory = kilobytes << 10
		}
	}
	return memory, u.descriptors
}

// Bounds are what a process may use.
type Bounds struct {
	// Memory in bytes.
	Memory      int
	Descriptors int
}

// Check fails the test if the process has ended or has used more than its bounds.
func (u *Usage) Check(t *testing.T, exited <-chan struct{}, b Bounds) {
	t.Helper()
	memory, descriptors := u.End()
	select {
	case <-exited:
		t.Error("the process has ended")
		return
	default:
	}
	t.Logf("at most %d MB and %d descriptors", memory>>20, descriptors)
	if memory == 0 || memory > b.Memory {
		t.Errorf("the process used %d MB, want at most %d", memory>>20, b.Memory>>20)
	}
	if descriptors > b.Descriptors {
		t.Errorf("the process had %d descriptors open, want at most %d", descriptors, b.Descriptors)
	}
}

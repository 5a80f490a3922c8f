package agent

import "sync"

// calls counts the calls in flight. Unlike with a sync.WaitGroup, which panics, one may begin as the last
// ends that somebody waits for.
type calls struct {
	mu       sync.Mutex
	underway int
	// idle is closed when no call is in flight; nil if nobody waits.
	idle chan struct{}
}

func (c *calls) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.underway++
}

func (c *calls) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.underway--
	c.notifyIdle()
}

// waitIdle returns a channel that is closed at the next moment without calls.
func (c *calls) waitIdle() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle = make(chan struct{})
	}
	idle := c.idle
	c.notifyIdle()
	return idle
}

func (c *calls) notifyIdle() {
	if c.underway == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

package discovery

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"
)

// evacuation is the operators' request that the endpoints of a failure domain get no requests.
type evacuation struct {
	// takenBackAt is when the request was found removed, zero while it is in force.
	takenBackAt time.Time
}

// Evacuate stops the use of a failure domain's endpoints. Their runs end where they are.
func (s *State) Evacuate(domain string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.evacuations[domain]; e != nil {
		if !e.takenBackAt.IsZero() {
			s.Log.Info("evacuation in force again", zap.String("domain", domain))
		}
		e.takenBackAt = time.Time{}
		return
	}
	s.evacuations[domain] = &evacuation{}
	endpoints := s.rewriteDomain(domain)
	s.Log.Info("evacuation in force", zap.String("domain", domain), zap.Int("endpoints", endpoints))
}

// EndEvacuation records that operators took an evacuation back. The domain is used again after
// the delay of ReturnDomains.
func (s *State) EndEvacuation(domain string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.evacuations[domain]; e != nil && e.takenBackAt.IsZero() {
		e.takenBackAt = now
		s.Log.Info("evacuation taken back", zap.String("domain", domain))
	}
}

// ReplaceEvacuations records the complete list of the domains that are to be evacuated.
func (s *State) ReplaceEvacuations(domains []string, now time.Time) {
	for _, domain := range s.EvacuatedDomains() {
		if !slices.Contains(domains, domain) {
			s.EndEvacuation(domain, now)
		}
	}
	for _, domain := range domains {
		s.Evacuate(domain)
	}
	s.mu.Lock()
	s.evacuationsListed = true
	s.mu.Unlock()
}

// ReturnDomains resumes the use of the domains whose evacuation was taken back at least delay
// ago. Endpoints may have become cold just before, and the entries that say so arrive within
// that delay.
func (s *State) ReturnDomains(now time.Time, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for domain, e := range s.evacuations {
		if e.takenBackAt.IsZero() || now.Sub(e.takenBackAt) < delay {
			continue
		}
		delete(s.evacuations, domain)
		endpoints := s.rewriteDomain(domain)
		s.Log.Info("domain in use again", zap.String("domain", domain), zap.Int("endpoints", endpoints))
	}
}

// EvacuatedDomains returns the domains whose endpoints get no requests, in order.
func (s *State) EvacuatedDomains() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.evacuations))
}

// rewriteDomain writes the rows of a domain's endpoints again, and returns their number. s.mu is
// held.
func (s *State) rewriteDomain(domain string) int {
	endpoints := 0
	for _, k := range s.instances {
		if k.Domain == domain {
			s.writeRow(k, stateOf(k.Instance))
			endpoints++
		}
	}
	return endpoints
}

package fleet

import "math/bits"

// Fresh is the number of rows still to be passed on.
func (t *Table) Fresh() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.freshChanges) + len(t.freshRows)
}

// SetReport takes in a member's soft state if it is newer.
func (t *Table) SetReport(r Report) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.incarnations[r.Incarnation]; !known {
		return false
	}
	old, had := t.soft[r.Incarnation]
	if had && old.Version >= r.Version {
		return false
	}
	t.soft[r.Incarnation] = &soft{Report: r, sends: t.reportSends()}
	t.freshReports = appendOnce(t.freshReports, r.Incarnation)
	return true
}

func (t *Table) reportSends() int {
	return max(1, 2*bits.Len(uint(len(t.rows)+1))/3)
}

// ReportSends is how often each process passes a report on.
func (t *Table) ReportSends() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.reportSends()
}

// ReportOf returns a member's soft state.
func (t *Table) ReportOf(id string) (Report, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, known := t.rows[id]
	if !known {
		return Report{}, false
	}
	s, ok := t.soft[r.Incarnation]
	if !ok {
		return Report{}, false
	}
	return s.Report, true
}

// TakeFresh returns up to rows and reports that are still to be passed on, and
// counts them as passed on once more.
func (t *Table) TakeFresh(rows, reports int) ([]Member, []Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var members []Member
	visit := func(id string) bool {
		r, ok := t.rows[id]
		if !ok || r.sends <= 0 {
			return false
		}
		r.sends--
		members = append(members, r.Member)
		return r.sends > 0
	}
	t.freshChanges = takeSome(t.freshChanges, rows, visit)
	t.freshRows = takeSome(t.freshRows, rows-len(members), visit)
	var out []Report
	t.freshReports = takeSome(t.freshReports, reports, func(incarnation uint64) bool {
		s, ok := t.soft[incarnation]
		if !ok || s.sends <= 0 {
			return false
		}
		s.sends--
		out = append(out, s.Report)
		return s.sends > 0
	})
	return members, out
}

// takeSome visits up to n ids and moves those that stay to the end, so that all
// get their turn.
func takeSome[T any](ids []T, n int, visit func(T) bool) []T {
	n = min(n, len(ids))
	rest := append([]T(nil), ids[n:]...)
	for _, id := range ids[:n] {
		if visit(id) {
			rest = append(rest, id)
		}
	}
	return rest
}

package quarantine

import "time"

// Merge applies evidence of peers and returns the part that was new.
func (t *Table) Merge(evidence []Evidence, now time.Time) []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []Evidence
	for _, e := range evidence {
		if now.Sub(e.ExitedAt) > longQuarantine {
			continue
		}
		set := &t.requests
		if e.Part != nil {
			set = &t.parts
		}
		s := set.get(e.Digest)
		old, known := s.exits[e.Server]
		merged := exit{at: e.ExitedAt, learnedAt: now, cleared: e.Cleared, context: e.context}
		if known {
			merged = old
			merged.cleared, merged.context = old.cleared || e.Cleared, old.context.merge(e.context)
			if merged.cleared == old.cleared && merged.context == old.context {
				continue
			}
		}
		if e.Info != (RequestInfo{}) {
			s.info = e.Info
		}
		if e.Part != nil {
			s.part = e.Part
		}
		t.setExit(set, s, e.Digest, e.Server, merged)
		changed = append(changed, s.evidence(e.Digest, e.Server))
	}
	t.evictExcess()
	return changed
}

// AddContext adds to evidence of peers what this daemon knows of the parts, since other requests with
// them may have completed here. It returns the evidence that changed.
func (t *Table) AddContext(evidence []Evidence, now time.Time) []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []Evidence
	summary := servedSummary{}
	for _, received := range evidence {
		if received.Part == nil || received.Cleared {
			continue
		}
		s := t.parts.subjects[received.Digest]
		if s == nil {
			continue
		}
		if summary.parts == nil {
			summary = t.served.summary(now)
		}
		e, known := s.exits[received.Server]
		own, cleared := summary.context(s.part, e.at)
		own.customers, own.requests = e.context.customers, e.context.requests
		merged := e.context.merge(own)
		if !known || (merged == e.context && cleared == e.cleared) {
			continue
		}
		e.context, e.cleared = merged, e.cleared || cleared
		t.setExit(&t.parts, s, received.Digest, received.Server, e)
		changed = append(changed, s.evidence(received.Digest, received.Server))
	}
	return changed
}

// Since returns the evidence that changed after a change number of this table, and the latest
// change number.
func (t *Table) Since(change int64) ([]Evidence, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []Evidence
	for _, set := range t.sets() {
		for d, s := range set.subjects {
			for server, e := range s.exits {
				if e.change > change {
					found = append(found, s.evidence(d, server))
				}
			}
		}
	}
	return found, t.changes
}

// Hash returns a value that is equal for tables with the same evidence against requests.
func (t *Table) Hash() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.requests.hash
}

// PartsHash returns a value that is equal for tables with the same evidence against parts.
func (t *Table) PartsHash() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.parts.hash
}

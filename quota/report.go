package quota

import "time"

// NextReport returns when the next report is due, or false while none is.
func (h *Holder) NextReport(at time.Duration) (time.Duration, bool) {
	switch {
	case !h.sent:
		return at, len(h.entries) > 0
	case h.soon:
		return h.sentAt + _urgentInterval, true
	case at-h.requestAt < _reportFor:
		return h.sentAt + _reportInterval, true
	}
	return 0, false
}

// Report returns a report of what has changed. It replaces one that was not answered.
func (h *Holder) Report(at time.Duration) Report {
	return h.AppendReport(at, nil)
}

// AppendReport is like Report, and uses the memory of another report's needs.
func (h *Holder) AppendReport(at time.Duration, into []Need) Report {
	h.seq++
	h.sentAt, h.sent, h.soon = at, true, false
	r := Report{Node: h.name, Epoch: h.epoch, Seq: h.seq, Needs: into[:0]}
	for customer, e := range h.entries {
		if e.reportedIn != 0 {
			e.reportedIn, e.dirty = 0, true
		}
		added := h.expire(e, at)
		e.returnUnused(at)
		if !e.dirty {
			if at-e.demandAt >= _forgetAfter {
				delete(h.entries, customer)
			}
			continue
		}
		if len(r.Needs) >= _maxNeeds {
			h.soon = true
			continue
		}
		e.dirty, e.reportedIn = false, h.seq
		e.reportedDebt = max(0, -e.held(added))
		e.reportedWant = uint64(e.want(at) * 1000)
		r.Needs = append(r.Needs, e.need(customer))
	}
	return r
}

// Answer processes the answer to a report. Answers to earlier reports are ignored.
func (h *Holder) Answer(at time.Duration, seq uint64, answer Answer) {
	if seq != h.seq || answer.Ignored {
		return
	}
	h.known, h.stateAt, h.allTight = true, h.sentAt, answer.AllTight
	clear(h.tight)
	for _, hash := range answer.Tight {
		h.tight[hash] = struct{}{}
	}
	if answer.WaitLeft > 0 {
		h.keepLease(answer.WaitLeft)
		return
	}
	if h.granted && answer.Term != h.grantTerm {
		h.changeHome(at)
	}
	h.granted, h.grantTerm, h.grantedAt = true, answer.Term, at
	h.leaseEnd = h.sentAt + _lease
	for _, g := range answer.Grants {
		if e, ok := h.entries[g.Customer]; ok {
			e.granted, e.rate = g.Granted, g.Rate
		}
	}
	for _, e := range h.entries {
		if e.reportedIn == seq {
			e.reportedIn = 0
		}
	}
}

// keepLease extends a lease that still runs, while the new home waits for it to end. The
// home has charged the debts.
func (h *Holder) keepLease(left time.Duration) {
	if h.granted && h.sentAt < h.leaseEnd {
		h.leaseEnd = max(h.leaseEnd, h.sentAt+min(left, _lease))
	}
	for _, e := range h.entries {
		if e.reportedIn == h.seq {
			e.reportedIn = 0
			e.granted += e.reportedDebt
		}
	}
}

// changeHome takes away the tokens of an earlier home, which this one does not know of.
func (h *Holder) changeHome(at time.Duration) {
	for _, e := range h.entries {
		e.void(h.expire(e, at))
		e.dirty = true
	}
}

package evacuation

import (
	"cmp"
	"maps"
	"slices"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// Change is a change of the key of one failure domain.
type Change struct {
	Domain   string
	Revision uint64
	// Removed says that the domain is taken back.
	Removed bool
	// Invalid is why the value of the key can't be read; nil if it can. The domain is evacuated
	// in any case.
	Invalid error
}

// Evacuation is the evacuation of one failure domain.
type Evacuation struct {
	Domain string
	// Revision is the revision of the change with which the evacuation began.
	Revision uint64
	// Since is when this instance learned of it.
	Since timer.Instant
}

// Set is an immutable set of evacuated failure domains. Its zero value is empty.
type Set struct {
	byDomain map[string]Evacuation
	// revisions holds the revision of the last change of each domain, also of those that were
	// taken back, so that an older change has no effect.
	revisions map[string]uint64
}

// Event is one change of a Set.
type Event struct {
	Evacuation
	// Ended says that the domain was taken back; Revision is then that of its removal.
	Ended bool
	At    timer.Instant
}

// Apply returns the set after changes that were read at now, and what changed. A domain that is
// taken back and evacuated again by the same changes is in the returned set without
// interruption, because the time until the second evacuation may have passed already; its
// events are both returned. Changes without a domain, and those that are not newer than the
// known ones, have no effect.
func (s Set) Apply(changes []Change, now timer.Instant) (Set, []Event) {
	next := Set{
		byDomain:  maps.Clone(s.byDomain),
		revisions: maps.Clone(s.revisions),
	}
	if next.byDomain == nil {
		next.byDomain = make(map[string]Evacuation)
		next.revisions = make(map[string]uint64)
	}
	var events []Event
	for _, c := range changes {
		if c.Revision <= next.revisions[c.Domain] {
			continue
		}
		next.revisions[c.Domain] = c.Revision
		if c.Domain == "" {
			continue
		}
		known, evacuated := next.byDomain[c.Domain]
		switch {
		case c.Removed && evacuated:
			delete(next.byDomain, c.Domain)
			known.Revision = c.Revision
			events = append(events, Event{
				Evacuation: known,
				Ended:      true,
				At:         now,
			})
		case !c.Removed && !evacuated:
			e := Evacuation{
				Domain:   c.Domain,
				Revision: c.Revision,
				Since:    now,
			}
			next.byDomain[c.Domain] = e
			events = append(events, Event{
				Evacuation: e,
				At:         now,
			})
		}
	}
	return next, events
}

// Evacuations returns the evacuations by name of their domain.
func (s Set) Evacuations() []Evacuation {
	return slices.SortedFunc(maps.Values(s.byDomain), func(a, b Evacuation) int { return cmp.Compare(a.Domain, b.Domain) })
}

// Domains returns the names of the evacuated domains.
func (s Set) Domains() map[string]bool {
	domains := make(map[string]bool, len(s.byDomain))
	for name := range s.byDomain {
		domains[name] = true
	}
	return domains
}

package residency

import (
	"slices"
	"strings"
)

// Regions is an immutable set of allowed regions. The zero value allows all regions, including
// unknown ones.
type Regions struct {
	restricted bool
	names      []string
	// key is the result of Key.
	key string
}

// FromList returns the set of the named regions, or the set of all regions if names is nil. An
// empty list that is not nil allows no region.
func FromList(names []string) Regions {
	if names == nil {
		return Regions{}
	}
	names = slices.Clone(names)
	slices.Sort(names)
	return restrictedTo(slices.Compact(names))
}

// restrictedTo returns the set of the given names, which are sorted.
func restrictedTo(names []string) Regions {
	return Regions{
		restricted: true,
		names:      names,
		key:        strings.Join(names, "\x00"),
	}
}

// Restricted reports whether some regions are not allowed.
func (r Regions) Restricted() bool { return r.restricted }

// Empty reports whether no region is allowed.
func (r Regions) Empty() bool { return r.restricted && len(r.names) == 0 }

// Allows reports whether a region is allowed. An unknown region, whose name is empty, is allowed
// only if all regions are.
func (r Regions) Allows(region string) bool {
	return !r.restricted || region != "" && slices.Contains(r.names, region)
}

// Names returns the allowed regions in order, or nil if all are allowed. It must not be changed.
func (r Regions) Names() []string { return r.names }

// Intersect returns the regions that both sets allow.
func (r Regions) Intersect(other Regions) Regions {
	if !r.restricted {
		return other
	}
	if !other.restricted {
		return r
	}
	both := make([]string, 0, len(r.names))
	for _, name := range r.names {
		if slices.Contains(other.names, name) {
			both = append(both, name)
		}
	}
	return restrictedTo(both)
}

// Equal reports whether both sets allow the same regions.
func (r Regions) Equal(other Regions) bool {
	return r.restricted == other.restricted && r.key == other.key
}

// Key returns a text that is the same for equal sets that are restricted. It does not allocate.
func (r Regions) Key() string { return r.key }

// String returns the allowed regions for logs.
func (r Regions) String() string {
	if !r.restricted {
		return "all"
	}
	if len(r.names) == 0 {
		return "none"
	}
	return strings.Join(r.names, ",")
}

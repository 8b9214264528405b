package limit

import "fmt"

// Priority is the priority class of a request.
type Priority int

// The classes, from the highest priority to the lowest.
const (
	Interactive Priority = iota
	Training
	Background
	classCount // number of classes
)

// String returns the name of the class, or "unknown".
func (c Priority) String() string {
	switch c {
	case Interactive:
		return "interactive"
	case Training:
		return "training"
	case Background:
		return "background"
	}
	return "unknown"
}

// ParsePriority returns the class with the given name.
func ParsePriority(name string) (Priority, error) {
	for c := range classCount {
		if c.String() == name {
			return c, nil
		}
	}
	return Background, fmt.Errorf("unknown priority %q; use interactive, training or background", name)
}

// EnginePriority returns the priority number that is sent to engines; a higher number
// is a higher priority.
func (c Priority) EnginePriority() int { return int(classCount - c) }

// limitShare returns the share of the concurrency limit up to which a class is admitted.
func (c Priority) limitShare() float64 {
	switch c {
	case Interactive:
		return 1
	case Training:
		return 0.9
	}
	return 0.6
}

// maxUsage returns the usage of the whole deployment, as a multiple of its slots, above
// which a class is refused.
func (c Priority) maxUsage() float64 {
	switch c {
	case Interactive:
		return 8
	case Training:
		return 1.25
	}
	return 0.75
}

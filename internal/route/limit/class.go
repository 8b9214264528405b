package limit

import "fmt"

// Class is the priority class of a request.
type Class int

// The classes, most urgent first.
const (
	Interactive Class = iota
	Training
	Background
	classCount
)

// String returns the class' name.
func (c Class) String() string {
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

// ParseClass returns the class called name.
func ParseClass(name string) (Class, error) {
	for c := range classCount {
		if c.String() == name {
			return c, nil
		}
	}
	return Background, fmt.Errorf("no priority %q; use interactive, training or background", name)
}

// EnginePriority is the number that engines are given; higher is more urgent.
func (c Class) EnginePriority() int { return int(classCount - c) }

// room is the share of the limit that a class may fill.
func (c Class) room() float64 {
	switch c {
	case Interactive:
		return 1
	case Training:
		return 0.9
	}
	return 0.6
}

// ceiling is the use of the whole deployment above which a class is refused.
func (c Class) ceiling() float64 {
	switch c {
	case Interactive:
		return 8
	case Training:
		return 1.25
	}
	return 0.75
}

package copystore

import (
	"errors"
	"sort"
	"sync"
	"time"

	"github.com/egretbend/egretbend/internal/fleet/version"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/rollout/sample"
)

// Limits of the copies that one instance stores for others.
const (
	// MaxBytes is the largest total size of all copies, in bytes.
	MaxBytes = 512 << 20
	// maxPageBytes is the largest total size of the copies in one reply, in
	// bytes, unless a single copy is larger.
	maxPageBytes = 2 << 20
	// idleTTL is how long the copies of a trainer are kept after the last call
	// for it.
	idleTTL = 30 * time.Minute
)

// Store stores copies of finished samples. Timer must be set before use.
type Store struct {
	Timer timer.Service

	mu       sync.Mutex
	trainers map[string]*trainerCopies
	bytes    int
}

// trainerCopies holds the copies of one trainer.
type trainerCopies struct {
	// session is the highest session number seen.
	session uint64
	copies  map[sample.Key]storedCopy
	// doneBelow is the highest DoneBelow seen.
	doneBelow uint64
	lastUsed  timer.Instant
}

// storedCopy is the copy of a sample with what determines its age.
type storedCopy struct {
	raw          []byte
	oldest       version.Version
	firstTokenAt timer.Instant
}

// KeepArgs are the arguments of Keep.
type KeepArgs struct {
	Trainer string
	Session uint64
	Key     sample.Key
	Raw     []byte
	Oldest  version.Version
	// Age is the time from the first token to the sending of the copy.
	Age time.Duration
	// DoneBelow is the number of a step below which all steps are closed.
	DoneBelow uint64
}

// KeepReply is the reply of Keep.
type KeepReply struct {
	// Fenced is set if the copy was refused, because the Store knows a higher
	// session number.
	Fenced bool
}

// GatherArgs are the arguments of Gather.
type GatherArgs struct {
	Trainer string
	Session uint64
	Step    uint64
	// Skip is the number of copies that were already received.
	Skip int
}

// GatherReply is the reply of Gather, with a page of copies.
type GatherReply struct {
	// Fenced is set if the Store knows a higher session number.
	Fenced bool
	Copies []Copy
	// More is set if there are more copies after these.
	More bool
}

// Copy is the copy of a finished sample.
type Copy struct {
	Key    sample.Key
	Raw    []byte
	Oldest version.Version
	// Age is the time since the first token.
	Age time.Duration
}

// ErrFull means that a copy would exceed MaxBytes.
var ErrFull = errors.New("copy store is full; another instance may take the copy")

// Keep stores a copy of a finished sample. It keeps an existing copy of the same
// sample, unless the new one has a newer oldest version.
func (s *Store) Keep(args KeepArgs, reply *KeepReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeIdleTrainers()
	t := s.copiesOf(args.Trainer)
	if args.Session < t.session {
		reply.Fenced = true
		return nil
	}
	t.session = args.Session
	s.removeStepsBelow(t, args.DoneBelow)
	if old, ok := t.copies[args.Key]; ok {
		if !old.oldest.Less(args.Oldest) {
			return nil
		}
		// The sample was regenerated because the old one had become too old.
		s.bytes -= len(old.raw)
		delete(t.copies, args.Key)
	}
	if s.bytes+len(args.Raw) > MaxBytes {
		return ErrFull
	}
	t.copies[args.Key] = storedCopy{
		raw:          args.Raw,
		oldest:       args.Oldest,
		firstTokenAt: s.Timer.Now().Add(-args.Age),
	}
	s.bytes += len(args.Raw)
	return nil
}

// Gather returns copies of a step in the order of their keys. It also records the
// session number, which fences the trainer's earlier sessions.
func (s *Store) Gather(args GatherArgs, reply *GatherReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.copiesOf(args.Trainer)
	if args.Session < t.session {
		reply.Fenced = true
		return nil
	}
	t.session = args.Session
	keys := t.sortedKeys(args.Step)
	if args.Skip > len(keys) {
		return nil
	}
	size := 0
	for _, key := range keys[args.Skip:] {
		c := t.copies[key]
		size += len(c.raw)
		if size > maxPageBytes && len(reply.Copies) > 0 {
			reply.More = true
			return nil
		}
		reply.Copies = append(reply.Copies, Copy{
			Key:    key,
			Raw:    c.raw,
			Oldest: c.oldest,
			Age:    s.Timer.Now().Sub(c.firstTokenAt),
		})
	}
	return nil
}

// Bytes returns the total size of all copies, in bytes.
func (s *Store) Bytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}

// copiesOf returns the copies of a trainer and marks them as used. The caller holds
// the lock.
func (s *Store) copiesOf(trainer string) *trainerCopies {
	if s.trainers == nil {
		s.trainers = make(map[string]*trainerCopies)
	}
	t, ok := s.trainers[trainer]
	if !ok {
		t = &trainerCopies{
			copies: make(map[sample.Key]storedCopy),
		}
		s.trainers[trainer] = t
	}
	t.lastUsed = s.Timer.Now()
	return t
}

// removeStepsBelow removes the copies of all steps with lower numbers than step. The
// caller holds the lock.
func (s *Store) removeStepsBelow(t *trainerCopies, step uint64) {
	if step <= t.doneBelow {
		return
	}
	t.doneBelow = step
	for key, c := range t.copies {
		if key.Step < step {
			s.bytes -= len(c.raw)
			delete(t.copies, key)
		}
	}
}

// removeIdleTrainers removes the copies of trainers that were not used for idleTTL.
// The caller holds the lock.
func (s *Store) removeIdleTrainers() {
	now := s.Timer.Now()
	for name, t := range s.trainers {
		if now.Sub(t.lastUsed) < idleTTL {
			continue
		}
		for _, c := range t.copies {
			s.bytes -= len(c.raw)
		}
		delete(s.trainers, name)
	}
}

// sortedKeys returns the keys of a step's copies, sorted by group and index.
func (t *trainerCopies) sortedKeys(step uint64) []sample.Key {
	var keys []sample.Key
	for key := range t.copies {
		if key.Step == step {
			keys = append(keys, key)
		}
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].Group != keys[j].Group {
			return keys[i].Group < keys[j].Group
		}
		return keys[i].Index < keys[j].Index
	})
	return keys
}

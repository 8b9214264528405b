package keeper

import (
	"errors"
	"sort"
	"sync"
	"time"

	"github.com/egretbend/egretbend/internal/fleet/version"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/rollout/sample"
)

// Bounds of what one instance keeps for others.
const (
	// MaxBytes is the most bytes of copies.
	MaxBytes = 512 << 20
	// pageBytes is the most bytes of copies in one reply.
	pageBytes = 2 << 20
	// idleLife is how long copies of a silent trainer are kept.
	idleLife = 30 * time.Minute
)

// Keeper holds copies. Its zero value needs a Timer.
type Keeper struct {
	Timer timer.Service

	mu       sync.Mutex
	trainers map[string]*shelf
	bytes    int
}

// shelf holds the copies of one trainer.
type shelf struct {
	session uint64
	copies  map[sample.Key]kept
	floor   uint64
	used    timer.Instant
}

type kept struct {
	raw    []byte
	oldest version.Version
	begun  timer.Instant
}

// KeepArgs hands over a copy.
type KeepArgs struct {
	Trainer string
	Session uint64
	Key     sample.Key
	Raw     []byte
	Oldest  version.Version
	// Age is the time since the first token, when the copy was sent.
	Age time.Duration
	// DoneBelow says that no step below it is open any more.
	DoneBelow uint64
}

// KeepReply tells whether the copy was taken.
type KeepReply struct {
	// Fenced is set when a higher session is known.
	Fenced bool
}

// GatherArgs asks for the copies of a step, and raises the fence.
type GatherArgs struct {
	Trainer string
	Session uint64
	Step    uint64
	// Skip is how many copies were already received.
	Skip int
}

// GatherReply carries a page of copies.
type GatherReply struct {
	Fenced bool
	Copies []Copy
	More   bool
}

// Copy is one finished sample.
type Copy struct {
	Key    sample.Key
	Raw    []byte
	Oldest version.Version
	Age    time.Duration
}

// ErrFull means that the keeper holds as much as it may.
var ErrFull = errors.New("the keeper is full; another instance may take the copy")

// Keep takes a copy.
func (k *Keeper) Keep(args KeepArgs, reply *KeepReply) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sweep()
	s := k.shelf(args.Trainer)
	if args.Session < s.session {
		reply.Fenced = true
		return nil
	}
	s.session = args.Session
	k.dropBelow(s, args.DoneBelow)
	if old, ok := s.copies[args.Key]; ok {
		if !old.oldest.Less(args.Oldest) {
			return nil
		}
		// The sample was made again because the old one had become too old.
		k.bytes -= len(old.raw)
		delete(s.copies, args.Key)
	}
	if k.bytes+len(args.Raw) > MaxBytes {
		return ErrFull
	}
	s.copies[args.Key] = kept{
		raw:    args.Raw,
		oldest: args.Oldest,
		begun:  k.Timer.Now().Add(-args.Age),
	}
	k.bytes += len(args.Raw)
	return nil
}

// Gather returns copies of a step in the order of their keys.
func (k *Keeper) Gather(args GatherArgs, reply *GatherReply) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.shelf(args.Trainer)
	if args.Session < s.session {
		reply.Fenced = true
		return nil
	}
	s.session = args.Session
	keys := s.keysOf(args.Step)
	if args.Skip > len(keys) {
		return nil
	}
	size := 0
	for _, key := range keys[args.Skip:] {
		c := s.copies[key]
		size += len(c.raw)
		if size > pageBytes && len(reply.Copies) > 0 {
			reply.More = true
			return nil
		}
		reply.Copies = append(reply.Copies, Copy{
			Key:    key,
			Raw:    c.raw,
			Oldest: c.oldest,
			Age:    k.Timer.Now().Sub(c.begun),
		})
	}
	return nil
}

// Bytes returns the bytes of all copies.
func (k *Keeper) Bytes() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.bytes
}

func (k *Keeper) shelf(trainer string) *shelf {
	if k.trainers == nil {
		k.trainers = make(map[string]*shelf)
	}
	s, ok := k.trainers[trainer]
	if !ok {
		s = &shelf{
			copies: make(map[sample.Key]kept),
		}
		k.trainers[trainer] = s
	}
	s.used = k.Timer.Now()
	return s
}

func (k *Keeper) dropBelow(s *shelf, step uint64) {
	if step <= s.floor {
		return
	}
	s.floor = step
	for key, c := range s.copies {
		if key.Step < step {
			k.bytes -= len(c.raw)
			delete(s.copies, key)
		}
	}
}

func (k *Keeper) sweep() {
	now := k.Timer.Now()
	for name, s := range k.trainers {
		if now.Sub(s.used) < idleLife {
			continue
		}
		for _, c := range s.copies {
			k.bytes -= len(c.raw)
		}
		delete(k.trainers, name)
	}
}

func (s *shelf) keysOf(step uint64) []sample.Key {
	var keys []sample.Key
	for key := range s.copies {
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

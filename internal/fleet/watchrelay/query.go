package watchrelay

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/egretbend/egretbend/internal/fleet/registry"
	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// Limits of the queries to watchers. A change that is made while the watchers of a
// follower fall silent takes the sum of these times to it at most, which must stay below Relay.Bound:
// coalesceDelay, pollWait and pollSlack for the watcher that it asks, pollSlack for the others, which
// are asked at the same time, and serviceTime.
const (
	// maxPollWait and minPollWait bound how long a watch waits at a watcher.
	maxPollWait = 900 * time.Millisecond
	minPollWait = 200 * time.Millisecond
	// eagerPollWait replaces the wait while Relay.NeedsConfirmation reports true.
	eagerPollWait = 100 * time.Millisecond
	// maxPollSlack and minPollSlack bound how much longer than its wait a poll may take.
	maxPollSlack = 300 * time.Millisecond
	minPollSlack = 150 * time.Millisecond
	// slackShare is the share of the time for both polls that each may take beyond its wait.
	slackShare = 0.2
	// serviceTime is the time for a call of the service itself.
	serviceTime = 500 * time.Millisecond
	// boundShare is the share of Relay.Bound that the sum may take; the rest is for the processor
	// and the links.
	boundShare = 0.9
	// defaultBound is used while Relay.Bound is zero.
	defaultBound = 2 * time.Second
	// serviceWait is how long a watch of the service waits if no watcher answers. Watchers are
	// tried again after it.
	serviceWait = avoidTime
)

var errStale = errors.New("the watcher has no confirmed connection to the key-value service")

// pollTime returns the time for the waits and the slacks of both polls.
func (r *Relay) pollTime() time.Duration {
	bound := r.Bound
	if bound == 0 {
		bound = defaultBound
	}
	return time.Duration(boundShare*float64(bound)) - coalesceDelay - serviceTime
}

// pollSlack returns how much longer than its wait a poll may take.
func (r *Relay) pollSlack() time.Duration {
	return max(minPollSlack, min(maxPollSlack, time.Duration(slackShare*float64(r.pollTime()))))
}

// pollWait returns how long a watch waits at a watcher. A follower notices only at its end that the
// watcher no longer answers.
func (r *Relay) pollWait() time.Duration {
	return max(minPollWait, min(maxPollWait, r.pollTime()-2*r.pollSlack()))
}

// polled is the reply of a watcher to a query that was sent at an instant.
type polled struct {
	watcher string
	sent    timer.Instant
	reply   Reply
	err     error
}

// pollInOrder polls watchers one after the other while they are stale. If one is silent, it polls the
// others at the same time, which answer at once: a wait at each of them would add up.
func (r *Relay) pollInOrder(watchers []registry.Member, q Query) (Reply, error) {
	sound, unsure := r.health.split(watchers, r.Timer.Now())
	for len(sound) > 0 {
		p := r.poll(sound[0], q)
		sound = sound[1:]
		if p.err == nil {
			return r.accept(p), nil
		}
		if !errors.Is(p.err, errStale) {
			break
		}
	}
	q.WaitMS = 0
	return r.pollAtOnce(slices.Concat(sound, unsure), q)
}

// pollAtOnce polls several watchers at the same time and returns the first good reply.
func (r *Relay) pollAtOnce(watchers []registry.Member, q Query) (Reply, error) {
	results := make(chan polled, len(watchers))
	for _, m := range watchers {
		go func() { results <- r.poll(m, q) }()
	}
	for range watchers {
		if p := <-results; p.err == nil {
			return r.accept(p), nil
		}
	}
	return Reply{}, errNoWatcher
}

// poll sends a query to one watcher.
func (r *Relay) poll(m registry.Member, q Query) polled {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(q.WaitMS)*time.Millisecond+r.pollSlack())
	defer cancel()
	p := polled{
		watcher: m.Name,
		sent:    r.Timer.Now(),
	}
	p.reply, p.err = r.Peers.Poll(ctx, m.PeerAddress, q)
	if p.err == nil && p.reply.Stale {
		p.err = errStale
	}
	r.noteAnswer(m.Name, p.err)
	return p
}

// accept passes on the time of day and the confirmations in a reply, and returns it.
func (r *Relay) accept(p polled) Reply {
	r.noteWatcher(p.watcher, p.sent, p.reply.Heard)
	if r.Clock != nil {
		r.Clock.Adopt(p.reply.Time, p.sent)
	}
	if r.OnConfirmed != nil {
		for prefix, c := range p.reply.Current {
			r.OnConfirmed(prefix, c.Revision, p.sent.Add(c.Lead))
		}
	}
	return p.reply
}

package runner

import (
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/rollout/sample"
	"github.com/egretbend/egretbend/internal/rollout/session"
)

// progress is the state of the attempts at an unfinished sample.
type progress struct {
	// longest is the record of the attempt with the most tokens so far. The
	// next attempt resumes from it.
	longest *sample.Recorder
	// firstTokenAt is when the first token arrived.
	firstTokenAt timer.Instant
	// upstreams lists the IDs of the upstreams that were chosen for attempts.
	upstreams []string
}

// progressOf returns the progress of a sample, creating it if there is none.
// The caller holds the lock.
func (o *openSession) progressOf(key sample.Key) *progress {
	p, ok := o.progress[key]
	if !ok {
		p = &progress{}
		o.progress[key] = p
	}
	return p
}

// recordUpstream records the upstream that was chosen for an attempt at a
// sample.
func (o *openSession) recordUpstream(key sample.Key, upstream string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.progressOf(key)
	p.upstreams = append(p.upstreams, upstream)
}

// recordProgress keeps a copy of rec if no attempt at the sample has more tokens.
// The caller holds the lock.
func (o *openSession) recordProgress(key sample.Key, rec *sample.Recorder, now timer.Instant) {
	p := o.progressOf(key)
	if p.longest == nil || len(p.longest.Texts) < len(rec.Texts) {
		p.longest = rec.Clone()
	}
	if p.firstTokenAt == 0 {
		p.firstTokenAt = now
	}
}

// resumeRecorder returns the tokens of earlier attempts that the next attempt at
// a sample resumes from. It is empty if any of them has become too old to resume
// from. The caller holds the lock.
func (o *openSession) resumeRecorder(work session.Attempt) *sample.Recorder {
	p, ok := o.progress[work.Key]
	if !ok || p.longest == nil {
		return &sample.Recorder{}
	}
	bound := o.runner.stalenessBound(work.Deployment, nil)
	for _, span := range p.longest.Spans {
		if span.Version.Behind(bound.Newest) >= max(1, bound.MaxVersions) {
			p.longest, p.firstTokenAt = nil, 0
			return &sample.Recorder{}
		}
	}
	return p.longest.Clone()
}

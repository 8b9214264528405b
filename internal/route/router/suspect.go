package router

import (
	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/route/crash"
	"github.com/egretbend/egretbend/internal/route/fingerprint"
	"github.com/egretbend/egretbend/internal/route/suspect"
	"github.com/egretbend/egretbend/internal/route/upstream"
)

// Crashes hears of requests that were cut before their answer was whole.
type Crashes interface {
	Cut(c crash.Cut)
}

// Suspects knows which requests crash the upstreams that run them.
type Suspects interface {
	// Judge decides about a request. It calls sum only if it knows of any crash.
	Judge(sum func() fingerprint.Sum) suspect.Verdict
	// Answered takes it that a request ran to its end. It calls sum only if it knows of any
	// crash.
	Answered(sum func() fingerprint.Sum)
}

// judge returns what is known of a request, or an error if no upstream may run it.
func (r *Router) judge(job Job) (suspect.Verdict, error) {
	if r.Suspects == nil || job.Sum == nil {
		return suspect.Verdict{}, nil
	}
	v := r.Suspects.Judge(job.Sum)
	if v.Refused() {
		fields := v.Fields()
		fields["request_id"] = job.RequestID
		fields["deployment"] = job.Deployment
		r.Journal.Decision("quarantine", fields)
		return v, problem.Quarantined.Withf("%s", v).WithRetryAfter(v.RetryAfter)
	}
	return v, nil
}

// CutOff notes that an upstream was lost before its answer was whole.
func (t *Trip) CutOff(u *upstream.Upstream) {
	t.cut++
	if t.router.Crashes == nil || t.Job.Sum == nil {
		return
	}
	t.router.Crashes.Cut(crash.Cut{
		RequestID:   t.Job.RequestID,
		Incarnation: crash.IncarnationOf(u.ID, u.Incarnation),
		Address:     u.Address,
		Sum:         t.Job.Sum(),
		At:          t.router.Timer.Now(),
		Row:         t.verdict.Crashes + t.cut,
	})
}

// answered clears the request if anything speaks against it.
func (t *Trip) answered() {
	if t.router.Suspects != nil && t.Job.Sum != nil {
		t.router.Suspects.Answered(t.Job.Sum)
	}
}

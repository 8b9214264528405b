package router

import (
	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/route/crash"
	"github.com/egretbend/egretbend/internal/route/fingerprint"
	"github.com/egretbend/egretbend/internal/route/suspect"
	"github.com/egretbend/egretbend/internal/route/upstream"
)

// Crashes is told about attempts whose connection was lost before the answer was
// complete.
type Crashes interface {
	Cut(c crash.Cut)
}

// Suspects tracks which requests crash the upstreams that run them.
type Suspects interface {
	// Judge returns the verdict on a request. It calls sum only if any crash is known.
	Judge(sum func() fingerprint.Sum) suspect.Verdict
	// Answered records that a request ran to completion, which clears it of suspicion. It
	// calls sum only if any crash is known.
	Answered(sum func() fingerprint.Sum)
}

// checkQuarantine returns the verdict on a request, or problem.Quarantined if no
// upstream may run it now.
func (r *Router) checkQuarantine(job Job) (suspect.Verdict, error) {
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

// CutOff records that the connection to an upstream was lost before the answer was
// complete, and reports it as a possible crash of the upstream.
func (t *Trip) CutOff(u *upstream.Upstream) {
	t.cutAttempts++
	if t.router.Crashes == nil || t.Job.Sum == nil {
		return
	}
	t.router.Crashes.Cut(crash.Cut{
		RequestID:   t.Job.RequestID,
		Incarnation: crash.IncarnationOf(u.ID, u.Incarnation),
		Address:     u.Address,
		Sum:         t.Job.Sum(),
		At:          t.router.Timer.Now(),
		Row:         t.verdict.Crashes + t.cutAttempts,
	})
}

// clearSuspicion records that the request was answered, which clears it if it was
// suspected of crashing upstreams.
func (t *Trip) clearSuspicion() {
	if t.router.Suspects != nil && t.Job.Sum != nil {
		t.router.Suspects.Answered(t.Job.Sum)
	}
}

package router

import (
	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/route/crash"
	"github.com/egretbend/egretbend/internal/route/fingerprint"
	"github.com/egretbend/egretbend/internal/route/poison"
	"github.com/egretbend/egretbend/internal/route/upstream"
)

// CrashReporter is told about attempts whose connection was lost before the answer was
// complete.
type CrashReporter interface {
	ReportCutOff(c crash.Cut)
}

// PoisonDetector tracks which requests crash the upstreams that run them.
type PoisonDetector interface {
	// Judge returns the verdict on a request. It calls digest only if any crash is known.
	Judge(digest func() fingerprint.Digest) poison.Verdict
	// RecordAnswer records that a request ran to completion, which clears it of
	// suspicion. It calls digest only if any crash is known.
	RecordAnswer(digest func() fingerprint.Digest)
}

// checkQuarantine returns the verdict on a request, or problem.Quarantined if no
// upstream may run it now.
func (r *Router) checkQuarantine(req Request) (poison.Verdict, error) {
	if r.PoisonDetector == nil || req.Digest == nil {
		return poison.Verdict{}, nil
	}
	v := r.PoisonDetector.Judge(req.Digest)
	if v.Quarantined() {
		fields := v.Fields()
		fields["request_id"] = req.RequestID
		fields["deployment"] = req.Deployment
		r.Journal.Decision("quarantine", fields)
		return v, problem.Quarantined.Withf("%s", v).WithRetryAfter(v.RetryAfter)
	}
	return v, nil
}

// ReportCutOff records that the connection to an upstream was lost before the answer was
// complete, and reports it as a possible crash of the upstream.
func (d *Dispatch) ReportCutOff(u *upstream.Upstream) {
	d.cutAttempts++
	if d.router.CrashReporter == nil || d.Request.Digest == nil {
		return
	}
	d.router.CrashReporter.ReportCutOff(crash.Cut{
		RequestID:   d.Request.RequestID,
		Incarnation: crash.IncarnationOf(u.ID, u.Incarnation),
		Address:     u.Address,
		Digest:      d.Request.Digest(),
		At:          d.router.Timer.Now(),
		Consecutive: d.verdict.Crashes + d.cutAttempts,
	})
}

// clearSuspicion records that the request was answered, which clears it if it was
// suspected of crashing upstreams.
func (d *Dispatch) clearSuspicion() {
	if d.router.PoisonDetector != nil && d.Request.Digest != nil {
		d.router.PoisonDetector.RecordAnswer(d.Request.Digest)
	}
}

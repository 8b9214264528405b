package poison

import (
	"time"

	"github.com/egretbend/egretbend/internal/route/fingerprint"
)

// ClaimRequest asks whether a request may be sent to one more upstream.
type ClaimRequest struct {
	RequestID string
	Digest    func() fingerprint.Digest
	// Ran reports that an upstream may have run the request before.
	Ran bool
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
}

// Permission is how a request may be sent to one more upstream.
type Permission int

// The permissions.
const (
	// Refused means that the request must not be sent.
	Refused Permission = iota
	// Unrestricted means that the request is not suspected.
	Unrestricted
	// Serial means that the request may be sent while no other instance sends it.
	Serial
	// Once means that the request may be sent to one upstream, without a retry or a hedge.
	Once
)

// Claim is the exclusive right to send a suspected request.
type Claim interface {
	// End gives up the claim and passes on the crashes during the request that are known
	// by now, and whether the request was answered. It does not block.
	End(answered bool)
}

// ClaimResult is the answer to a ClaimRequest.
type ClaimResult struct {
	Permission Permission
	Verdict    Verdict
	// Claim is held if Permission is Serial. The caller must end it.
	Claim Claim
	// RetryAfter is when a refused request may be sent again.
	RetryAfter time.Duration
}

// Permit returns how a request may be sent, given the verdict on it and whether an upstream
// may have run it before.
func (v Verdict) Permit(ran bool) Permission {
	switch {
	case !v.Suspected():
		return Unrestricted
	case v.Quarantined(), ran && !v.MayRetry(0, 0):
		return Refused
	}
	return Serial
}

// refuseWithoutClaimFrom is the number of crashes from which a request is refused while no
// claim can be taken.
const refuseWithoutClaimFrom = 2

// PermitWithoutClaim returns how a suspected request may be sent while no claim can be taken.
func (v Verdict) PermitWithoutClaim(ran bool) Permission {
	if !v.Suspected() {
		return Unrestricted // it was answered meanwhile
	}
	if ran || v.Quarantined() || v.TotalCrashes >= refuseWithoutClaimFrom {
		return Refused
	}
	return Once
}

const (
	// crashRecoveryTime is how long an upstream that crashed is away, until it is listed again.
	crashRecoveryTime = 4 * time.Second
	// minSparingUpstreams is the size of a service from which on an upstream is spared. In a
	// smaller one, sparing it would refuse every request that stood beside one crash.
	minSparingUpstreams = 3
)

// SparingDelay returns how long a suspected request must not be sent, so that one upstream of
// the service stays up for other requests, or 0 if it may be sent. upstreams is the number of
// upstreams that are listed.
func (v Verdict) SparingDelay(upstreams int) time.Duration {
	if upstreams < minSparingUpstreams || v.Age >= crashRecoveryTime || upstreams-v.TotalCrashes >= 2 {
		return 0
	}
	return crashRecoveryTime - v.Age
}

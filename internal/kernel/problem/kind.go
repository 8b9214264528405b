package problem

import "net/http"

// Outcome tells whether the request was run.
type Outcome string

const (
	// NotRun means that no upstream ran the request.
	NotRun Outcome = "not_run"
	// Unknown means that an upstream may have run the request.
	Unknown Outcome = "unknown"
)

// Kind is a class of failures with a stable code.
type Kind struct {
	Code    string
	Status  int
	Remedy  string
	Outcome Outcome
}

func newKind(code string, status int, outcome Outcome, remedy string) Kind {
	return Kind{
		Code:    code,
		Status:  status,
		Remedy:  remedy,
		Outcome: outcome,
	}
}

// The kinds of failure. Each has a code of its own.
var (
	BadRequest = newKind("bad_request", http.StatusBadRequest, NotRun,
		"correct the named field and send the request again")
	MissingHeader = newKind("missing_header", http.StatusBadRequest, NotRun,
		"add the named header and send the request again")
	TooLarge = newKind("too_large", http.StatusRequestEntityTooLarge, NotRun,
		"send a body below the named limit")
	Unauthorized = newKind("unauthorized", http.StatusUnauthorized, NotRun,
		"send the key for this door as a bearer token")
	NotFound = newKind("not_found", http.StatusNotFound, NotRun,
		"check the path against docs/API.md")
	UnknownDeployment = newKind("unknown_deployment", http.StatusNotFound, NotRun,
		"list deployments with `egretbend config get` and use one of their names")
	TicketRequired = newKind("ticket_required", http.StatusPreconditionRequired, NotRun,
		"get a ticket with POST /v1/tickets and send it as Egretbend-Ticket")
	TicketExpired = newKind("ticket_expired", http.StatusGone, Unknown,
		"check at the service whether the first try ran before asking with a new ticket")
	TicketMismatch = newKind("ticket_mismatch", http.StatusConflict, NotRun,
		"use one ticket for one request only")
	TicketHolderGone = newKind("ticket_holder_gone", http.StatusBadGateway, Unknown,
		"check at the service whether the first try ran before asking with a new ticket")
	Overloaded = newKind("overloaded", http.StatusTooManyRequests, NotRun,
		"ask again after the time in Retry-After")
	BuffersFull = newKind("buffers_full", http.StatusServiceUnavailable, NotRun,
		"ask another instance, or this one after the time in Retry-After; operators look at slow readers")
	NoUpstream = newKind("no_upstream", http.StatusServiceUnavailable, NotRun,
		"ask again after the time in Retry-After; operators look at the instance list")
	RegionsEmpty = newKind("regions_empty", http.StatusServiceUnavailable, NotRun,
		"ask again after the configuration has changed; operators look at allowed_regions of the route and of the organisation")
	RegionUnavailable = newKind("region_unavailable", http.StatusServiceUnavailable, NotRun,
		"ask again after the time in Retry-After; operators look at what runs in the allowed regions")
	Leaving = newKind("leaving", http.StatusServiceUnavailable, NotRun,
		"ask any other instance for addresses")
	NotReady = newKind("not_ready", http.StatusServiceUnavailable, NotRun,
		"ask another instance; this one has no configuration yet")
	Unconfirmed = newKind("unconfirmed", http.StatusServiceUnavailable, NotRun,
		"ask another instance; this one can't tell at the moment whether its configuration is the newest one")
	DeadlineBeforeRun = newKind("deadline_before_run", http.StatusGatewayTimeout, NotRun,
		"ask again with a longer Egretbend-Deadline-Ms")
	UpstreamRefused = newKind("upstream_refused", http.StatusServiceUnavailable, NotRun,
		"ask again after the time in Retry-After")
	Quarantined = newKind("request_quarantined", http.StatusServiceUnavailable, NotRun,
		"send another request, or the same after the time in Retry-After")
	UpstreamFailed = newKind("upstream_failed", http.StatusBadGateway, Unknown,
		"repeat an idempotent request; for others check at the service first")
	UpstreamTimeout = newKind("upstream_timeout", http.StatusGatewayTimeout, Unknown,
		"repeat an idempotent request; for others check at the service first")
	AnswerRejected = newKind("answer_rejected", http.StatusBadGateway, Unknown,
		"repeat an idempotent request; the upstream's answer was cut short or not for this request")
	Conflict = newKind("conflict", http.StatusConflict, NotRun,
		"read the current revision, apply the change to it and put it again")
	ChangeUnknown = newKind("change_unknown", http.StatusServiceUnavailable, Unknown,
		"ask GET /v1/configuration/changes/ID later; don't put another change before that")
	PlatformDown = newKind("platform_down", http.StatusServiceUnavailable, NotRun,
		"wait until the key-value service answers; requests and samples go on meanwhile")
	SessionFenced = newKind("session_fenced", http.StatusConflict, NotRun,
		"open a session with a higher number")
	SessionUnknown = newKind("session_unknown", http.StatusNotFound, NotRun,
		"open a session with a higher number at any instance and submit open steps again")
	CursorUnknown = newKind("cursor_unknown", http.StatusConflict, NotRun,
		"read with the cursor of the last answer taken in this session")
	StepConflict = newKind("step_conflict", http.StatusConflict, NotRun,
		"submit a step number once with the same groups")
	VersionBehind = newKind("version_behind", http.StatusConflict, NotRun,
		"publish a version above the newest one")
	Internal = newKind("internal", http.StatusInternalServerError, Unknown,
		"report it with the request id and the log lines of this instance")
)

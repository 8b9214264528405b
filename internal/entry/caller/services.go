package caller

import (
	"bytes"
	"context"
	"net/http"
	"strconv"

	"goji.io/pat"
	"goji.io/pattern"

	"github.com/egretbend/egretbend/internal/entry/budget"
	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/route/relay"
	"github.com/egretbend/egretbend/internal/route/ticket"
	"github.com/egretbend/egretbend/internal/route/wire"
)

// headerPassedOn is set on a request that another instance forwarded. It holds the id
// of that instance.
const headerPassedOn = "Egretbend-Passed-On"

// handleService serves ANY /v1/services/{deployment}/{path}.
func (s *Server) handleService(w http.ResponseWriter, r *http.Request) {
	deployment := pat.Param(r, "deployment")
	meta, err := s.readMetadata(r, deployment)
	if err != nil {
		problem.Write(w, err)
		return
	}
	w.Header().Set(relay.HeaderRequestID, meta.requestID)
	body, err := problem.ReadBody(w, r, maxBody)
	if err != nil {
		problem.Write(w, err)
		return
	}
	path := pattern.Path(r.Context())
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	call := relay.Call{
		RequestID:    meta.requestID,
		Caller:       meta.caller,
		Priority:     meta.priority,
		Weight:       meta.weight,
		Deployment:   deployment,
		Organisation: meta.identity.organisation,
		Method:       r.Method,
		Path:         path,
		Header:       r.Header,
		Body:         body,
		Idempotent:   meta.idempotent,
	}
	if meta.idempotent {
		ctx, cancel := meta.context(r.Context())
		defer cancel()
		answer, err := s.Relay.Do(ctx, call)
		writeAnswer(w, answer, err)
		return
	}
	s.handleNonIdempotent(w, r, meta, call)
}

// handleNonIdempotent runs a non-idempotent request at most once. Without a ticket, a
// retry can't be told from a new request, so a request without one is refused.
func (s *Server) handleNonIdempotent(w http.ResponseWriter, r *http.Request, meta requestMetadata, call relay.Call) {
	text := r.Header.Get(relay.HeaderTicket)
	if text == "" {
		problem.Write(w, problem.TicketRequired.Withf("header %s is missing on a request that is not idempotent", relay.HeaderTicket))
		return
	}
	t, err := ticket.Parse(text)
	if err != nil {
		problem.Write(w, problem.BadRequest.Withf("%s: %w", relay.HeaderTicket, err))
		return
	}
	if t.Address != s.Tickets.Address {
		s.forwardToIssuer(w, r, meta, t, call)
		return
	}
	run, earlier, err := s.Tickets.Use(t, ticket.Fingerprint(call.Method, call.Deployment, call.Path, call.Body))
	if err != nil {
		problem.Write(w, err)
		return
	}
	if run != nil {
		earlier = run
		go s.runTicket(run, meta, call)
	}
	select {
	case <-earlier.Done:
	case <-r.Context().Done():
		return
	}
	answer, err := earlier.Result()
	if !s.Mux.Leaving() {
		w.Header().Set(relay.HeaderNextTicket, s.issueTickets(1)[0])
	}
	writeAnswer(w, answer, err)
}

// runTicket runs the request of a ticket and stores the result. It ignores the caller's
// disconnection, because the upstream may have started the request already and the
// caller may ask for the response again.
func (s *Server) runTicket(run *ticket.Run, meta requestMetadata, call relay.Call) {
	ctx, cancel := meta.context(context.Background())
	defer cancel()
	answer, err := s.Relay.Do(ctx, call)
	run.Finish(answer, err)
}

// forwardToIssuer forwards a request to the instance that issued its ticket. If that
// instance can't be reached, the outcome is unknown even if nothing was sent this time:
// the instance may have run the request on an earlier attempt.
func (s *Server) forwardToIssuer(w http.ResponseWriter, r *http.Request, meta requestMetadata, t ticket.Ticket, call relay.Call) {
	if r.Header.Get(headerPassedOn) != "" {
		problem.Write(w, problem.TicketHolderGone.Withf("%s is not the address of this instance", t.Address))
		return
	}
	if !s.isMemberAddress(t.Address) {
		problem.Write(w, problem.TicketHolderGone.Withf("%s is not the address of an instance of this fleet", t.Address))
		return
	}
	ctx, cancel := meta.context(r.Context())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.Method, s.Scheme+"://"+t.Address+r.URL.RequestURI(), bytes.NewReader(call.Body))
	if err != nil {
		problem.Write(w, problem.BadRequest.With(err))
		return
	}
	req.Header = r.Header.Clone()
	req.Header.Set(headerPassedOn, s.Members.Self().ID)
	req.Header.Set(relay.HeaderRequestID, meta.requestID)
	req.Header.Set(headerOrganisation, meta.identity.organisation)
	req.Header.Set(headerVoucher, meta.identity.voucher)
	res, _, err := s.Client.Do(req, wire.Fresh)
	if err != nil {
		problem.Write(w, problem.TicketHolderGone.Withf("the issuer %s of the ticket did not answer: %w", t.Address, err))
		return
	}
	defer res.Body.Close()
	s.copyResponse(ctx, w, res)
}

// copyResponse copies the response of a ticket's issuer to the caller.
func (s *Server) copyResponse(ctx context.Context, w http.ResponseWriter, res *http.Response) {
	length := res.ContentLength
	if res.Body == http.NoBody { // the length that a response to HEAD states is not its own
		length = 0
	}
	body, err := budget.FromContext(ctx).ReadResponse(ctx, res.Body, length)
	if err != nil {
		problem.Write(w, problem.AnswerRejected.Withf("the response of the ticket's issuer was cut short: %w", err))
		return
	}
	for name, values := range res.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(res.StatusCode)
	_, _ = w.Write(body)
}

// isMemberAddress reports whether address belongs to an instance of the fleet. Tickets
// come from callers, and must not make this instance connect to arbitrary addresses.
func (s *Server) isMemberAddress(address string) bool {
	for _, m := range s.Members.View().Known {
		if m.Address == address {
			return true
		}
	}
	return false
}

// handleTickets serves POST /v1/tickets.
func (s *Server) handleTickets(w http.ResponseWriter, r *http.Request) {
	n, err := parseOptionalInt(r.URL.Query().Get("count"), maxTickets)
	if err != nil {
		problem.Write(w, problem.BadRequest.Withf("count: %w", err))
		return
	}
	if s.Mux.Leaving() {
		problem.Write(w, problem.Leaving.Withf("this instance is leaving"))
		return
	}
	problem.WriteJSON(w, http.StatusOK, struct {
		Tickets []string `json:"tickets"`
	}{
		Tickets: s.issueTickets(max(1, n)),
	})
}

// issueTickets returns n new tickets in their text form, or nil if n is 0.
func (s *Server) issueTickets(n int) []string {
	if n == 0 {
		return nil
	}
	list := make([]string, 0, n)
	for _, t := range s.Tickets.Issue(n) {
		list = append(list, t.String())
	}
	return list
}

// writeAnswer writes an upstream's response, or err if it is not nil.
func writeAnswer(w http.ResponseWriter, answer *relay.Answer, err error) {
	if err != nil {
		problem.Write(w, err)
		return
	}
	for name, values := range answer.Header {
		w.Header()[name] = values
	}
	w.Header().Set(relay.HeaderUpstream, answer.Upstream)
	w.Header().Set(relay.HeaderAttempts, strconv.Itoa(answer.Attempts))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

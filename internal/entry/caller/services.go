package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"goji.io/pat"
	"goji.io/pattern"

	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/route/relay"
	"github.com/egretbend/egretbend/internal/route/ticket"
	"github.com/egretbend/egretbend/internal/route/wire"
)

// headerPassedOn is set on a request that another instance passed on.
const headerPassedOn = "Egretbend-Passed-On"

// service answers ANY /v1/services/{deployment}/{path}.
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	deployment := pat.Param(r, "deployment")
	e, err := s.open(r, deployment)
	if err != nil {
		problem.Write(w, err)
		return
	}
	w.Header().Set(relay.HeaderRequestID, e.requestID)
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
		RequestID:  e.requestID,
		Caller:     e.caller,
		Class:      e.class,
		Weight:     e.weight,
		Deployment: deployment,
		Method:     r.Method,
		Path:       path,
		Header:     r.Header,
		Body:       body,
		Idempotent: e.idempotent,
	}
	if e.idempotent {
		ctx, cancel := e.context(r.Context())
		defer cancel()
		answer, err := s.Relay.Do(ctx, call)
		writeAnswer(w, answer, err)
		return
	}
	s.once(w, r, e, call)
}

// once answers a request that may not be repeated. Without a ticket nobody
// could tell a repeat from a new request, so it is refused.
func (s *Server) once(w http.ResponseWriter, r *http.Request, e envelope, call relay.Call) {
	text := r.Header.Get(relay.HeaderTicket)
	if text == "" {
		problem.Write(w, problem.TicketRequired.Withf("%s is absent on a request that is not idempotent", relay.HeaderTicket))
		return
	}
	t, err := ticket.Parse(text)
	if err != nil {
		problem.Write(w, problem.BadRequest.Withf("%s: %w", relay.HeaderTicket, err))
		return
	}
	if t.Address != s.Tickets.Address {
		s.passOn(w, r, e, t, call)
		return
	}
	run, earlier, err := s.Tickets.Use(t, ticket.Print(call.Method, call.Deployment, call.Path, call.Body))
	if err != nil {
		problem.Write(w, err)
		return
	}
	if run != nil {
		earlier = run
		go s.run(run, e, call)
	}
	select {
	case <-earlier.Done:
	case <-r.Context().Done():
		return
	}
	answer, err := earlier.Result()
	if !s.Mux.Leaving() {
		w.Header().Set(relay.HeaderNextTicket, s.issue(1)[0])
	}
	writeAnswer(w, answer, err)
}

// run runs a ticket's request. It goes on when the caller goes away: the
// upstream may have begun, and the caller may ask for the answer again.
func (s *Server) run(run *ticket.Run, e envelope, call relay.Call) {
	ctx, cancel := e.context(context.Background())
	defer cancel()
	answer, err := s.Relay.Do(ctx, call)
	run.Finish(answer, err)
}

// passOn sends a request to the instance that issued its ticket. When that one
// can't be reached, it may have run the request before, so the outcome is
// unknown, also though nothing was sent now.
func (s *Server) passOn(w http.ResponseWriter, r *http.Request, e envelope, t ticket.Ticket, call relay.Call) {
	if r.Header.Get(headerPassedOn) != "" {
		problem.Write(w, problem.TicketHolderGone.Withf("%s is not the address of this instance", t.Address))
		return
	}
	if !s.knows(t.Address) {
		problem.Write(w, problem.TicketHolderGone.Withf("%s is no instance of this fleet", t.Address))
		return
	}
	ctx, cancel := e.context(r.Context())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.Method, s.Scheme+"://"+t.Address+r.URL.RequestURI(), bytes.NewReader(call.Body))
	if err != nil {
		problem.Write(w, problem.BadRequest.With(err))
		return
	}
	req.Header = r.Header.Clone()
	req.Header.Set(headerPassedOn, s.Members.Self().ID)
	req.Header.Set(relay.HeaderRequestID, e.requestID)
	req.Header.Set(headerOrganisation, e.identity.organisation)
	req.Header.Set(headerVoucher, e.identity.voucher)
	res, _, err := s.Client.Do(req, wire.Fresh)
	if err != nil {
		problem.Write(w, problem.TicketHolderGone.Withf("the issuer %s does not answer: %w", t.Address, err))
		return
	}
	defer res.Body.Close()
	s.copyAnswer(w, res)
}

func (s *Server) copyAnswer(w http.ResponseWriter, res *http.Response) {
	body, err := io.ReadAll(res.Body)
	if err != nil {
		problem.Write(w, problem.AnswerRejected.Withf("the issuer's answer was cut short: %w", err))
		return
	}
	for name, values := range res.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(res.StatusCode)
	_, _ = w.Write(body)
}

// knows reports whether address is one of the fleet's. A ticket is the
// caller's word, and must not make this instance connect to just anywhere.
func (s *Server) knows(address string) bool {
	for _, m := range s.Members.View().Known {
		if m.Address == address {
			return true
		}
	}
	return false
}

// tickets answers POST /v1/tickets.
func (s *Server) tickets(w http.ResponseWriter, r *http.Request) {
	n, err := optionalInt(r.URL.Query().Get("count"), maxTickets)
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
		Tickets: s.issue(max(1, n)),
	})
}

func (s *Server) issue(n int) []string {
	if n == 0 {
		return nil
	}
	list := make([]string, 0, n)
	for _, t := range s.Tickets.Issue(n) {
		list = append(list, t.String())
	}
	return list
}

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

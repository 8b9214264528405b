package loadgen

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/egretbend/egretbend/internal/entry/caller"
	"github.com/egretbend/egretbend/internal/entry/client"
	"github.com/egretbend/egretbend/internal/kernel/problem"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/load/addresses"
	"github.com/egretbend/egretbend/internal/route/relay"
	"github.com/egretbend/egretbend/internal/standin/engine"
	"github.com/egretbend/egretbend/internal/standin/service"
)

// Limits of a stream of requests.
const (
	// maxInFlight limits the concurrent requests of one stream.
	maxInFlight = 4000
	// maxInstanceAttempts is how many instances a request tries before it fails
	// because none could be reached.
	maxInstanceAttempts = 6
	// maxTicketRetries is how often a caller asks other instances for the answer
	// of a ticket after the connection broke.
	maxTicketRetries = 3
)

// Generator sends one stream of requests. It needs Settings, Addresses and a Timer.
type Generator struct {
	Settings  Settings
	Addresses *addresses.Cache
	Timer     timer.Service
	// Services are the addresses of the services, used if Settings.Direct is set.
	Services []string

	recorder   *resultRecorder
	httpClient *http.Client
	started    timer.Instant
}

// Run sends requests until ctx ends and waits for all answers.
func (g *Generator) Run(ctx context.Context) Result {
	g.recorder = newResultRecorder(g.Settings.Caller)
	g.httpClient = &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 256,
			IdleConnTimeout:     5 * time.Second,
		},
	}
	g.started = g.Timer.Now()
	r := rand.New(rand.NewPCG(g.Settings.Seed, 7))
	due := g.started
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxInFlight)
	for n := 0; ; n++ {
		due = due.Add(g.nextInterval(r, due))
		if wait := due.Sub(g.Timer.Now()); wait > 0 && !timer.Wait(g.Timer, wait, ctx.Done()) {
			break
		}
		if ctx.Err() != nil {
			break
		}
		slots <- struct{}{}
		at := due
		wg.Go(func() {
			defer func() { <-slots }()
			g.runRequest(n, at)
		})
		g.recorder.mu.Lock()
		g.recorder.result.Sent++
		g.recorder.mu.Unlock()
	}
	wg.Wait()
	return g.recorder.finish()
}

// nextInterval draws the time to the next arrival from an exponential
// distribution, with a higher or lower rate during the burst.
func (g *Generator) nextInterval(r *rand.Rand, due timer.Instant) time.Duration {
	rate := g.Settings.PerSecond
	at := due.Sub(g.started).Milliseconds()
	if at >= g.Settings.BurstFromMS && at < g.Settings.BurstToMS {
		rate *= g.Settings.BurstFactor
	}
	return time.Duration(-math.Log(1-r.Float64()) / rate * float64(time.Second))
}

// runRequest sends the n-th request and records its outcome. It repeats the request
// up to Settings.Retries times if the error says that it was not run and names a
// retry time.
func (g *Generator) runRequest(n int, due timer.Instant) {
	id := fmt.Sprintf("%s-%d-%d", g.Settings.Caller, g.Settings.Seed, n)
	var err error
	for attempt := 0; ; attempt++ {
		err = g.send(id, n, due)
		wait := problem.From(err).RetryAfter
		if err == nil || wait == 0 || attempt >= g.Settings.Retries || problem.From(err).Kind.Outcome != problem.NotRun {
			break
		}
		timer.Wait(g.Timer, wait, nil)
	}
	if err == nil {
		return
	}
	took := g.Timer.Now().Sub(due)
	switch {
	case errors.Is(err, errWrongAnswer):
		g.recorder.recordMismatch(id, err)
	case problem.From(err).Kind.Outcome == problem.NotRun:
		g.recorder.recordFailure(id, outcomeRefused, took, err)
	default:
		g.recorder.recordFailure(id, outcomeUnknown, took, err)
	}
}

// errWrongAnswer means that the answer belongs to another request or is
// incomplete.
var errWrongAnswer = errors.New("answer does not match the request")

// errNoInstanceReached means that no instance took or answered the request.
var errNoInstanceReached = problem.NoUpstream.Withf("no instance was reached")

// send sends a request once, through the first instance that can be reached and
// is not shutting down. If the connection breaks, it asks other instances for the
// answer of the ticket, up to maxTicketRetries times.
func (g *Generator) send(id string, n int, due timer.Instant) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(g.Settings.DeadlineMS)*time.Millisecond+2*time.Second)
	defer cancel()
	if g.Settings.Kind == "model" {
		return g.sendCompletion(ctx, id, n, due)
	}
	if g.Settings.Direct {
		return g.sendOrderTo(ctx, g.Services[n%len(g.Services)], "/orders", "", id, due)
	}
	ticket := ""
	for range maxInstanceAttempts {
		address, err := g.Addresses.Next(ctx)
		if err != nil {
			return errNoInstanceReached
		}
		if !g.Settings.Idempotent {
			ticket, err = g.requestTicket(ctx, address)
		}
		if err == nil {
			err = g.sendOrder(ctx, address, ticket, id, due)
		}
		if client.IsDialError(err) || problem.Is(err, problem.Leaving) {
			g.Addresses.MarkFailed(address)
			continue
		}
		for range maxTicketRetries {
			if !errors.Is(err, client.ErrNoAnswer) || ticket == "" {
				break
			}
			err = g.retryTicket(ctx, address, ticket, id, due)
		}
		return err
	}
	return errNoInstanceReached
}

// retryTicket repeats an order with the same ticket at another instance, to get
// the answer of the first attempt.
func (g *Generator) retryTicket(ctx context.Context, failed, ticket, id string, due timer.Instant) error {
	g.Addresses.MarkFailed(failed)
	timer.Wait(g.Timer, 50*time.Millisecond, ctx.Done())
	address, err := g.Addresses.Next(ctx)
	if err != nil {
		return err
	}
	return g.sendOrder(ctx, address, ticket, id, due)
}

// newClient returns a client that sends the headers of a request.
func (g *Generator) newClient(address, id, ticket string) client.Client {
	h := make(http.Header)
	h.Set(relay.HeaderCaller, g.Settings.Caller)
	h.Set(relay.HeaderRequestID, id)
	h.Set(relay.HeaderPriority, g.Settings.Priority)
	h.Set(relay.HeaderDeadline, strconv.FormatInt(g.Settings.DeadlineMS, 10))
	if ticket != "" {
		h.Set(relay.HeaderTicket, ticket)
	}
	if g.Settings.Idempotent {
		h.Set(relay.HeaderIdempotent, "true")
	}
	return client.Client{
		Address: address,
		Header:  h,
		HTTP:    g.httpClient,
	}
}

// requestTicket gets a ticket from the instance at address.
func (g *Generator) requestTicket(ctx context.Context, address string) (string, error) {
	var answer struct {
		Tickets []string `json:"tickets"`
	}
	if err := g.newClient(address, "", "").Do(ctx, http.MethodPost, "/v1/tickets", nil, &answer); err != nil {
		return "", err
	}
	return answer.Tickets[0], nil
}

// sendOrder sends an order through the instance at address.
func (g *Generator) sendOrder(ctx context.Context, address, ticket, id string, due timer.Instant) error {
	return g.sendOrderTo(ctx, address, "/v1/services/"+g.Settings.Deployment+"/orders", ticket, id, due)
}

// sendOrderTo sends an order to address, checks that the answer belongs to it, and
// records the answer.
func (g *Generator) sendOrderTo(ctx context.Context, address, path, ticket, id string, due timer.Instant) error {
	o := service.Order{
		OrderID: id,
		Detail:  "hide cut for " + id,
	}
	var answer service.Answer
	h, err := g.newClient(address, id, ticket).DoHeader(ctx, http.MethodPost, path, o, &answer)
	if err != nil {
		return err
	}
	if answer.OrderID != id || answer.Check != service.Check(o) {
		return fmt.Errorf("%w: sent order %s, got the answer to %s", errWrongAnswer, id, answer.OrderID)
	}
	g.recordAnswer(id, h, due)
	return nil
}

// recordAnswer records a correct answer with its latency, the attempts that the
// header names, and the second of the run in which it came.
func (g *Generator) recordAnswer(id string, h http.Header, due timer.Instant) {
	attempts, err := strconv.Atoi(h.Get(relay.HeaderAttempts))
	if err != nil {
		attempts = 1
	}
	now := g.Timer.Now()
	g.recorder.recordAnswer(id, now.Sub(due), attempts, int(now.Sub(g.started)/time.Second))
}

// sendCompletion sends a completion request and checks the text of the answer. It
// tries up to maxInstanceAttempts instances, also after a broken connection.
func (g *Generator) sendCompletion(ctx context.Context, id string, n int, due timer.Instant) error {
	prompt := fmt.Sprintf("%s asks for label wording %d", g.Settings.Caller, n%g.Settings.Prompts)
	body := caller.CompletionRequest{
		Prompt:    prompt,
		MaxTokens: g.Settings.MaxTokens,
		Seed:      uint64(n),
	}
	for range maxInstanceAttempts {
		address, err := g.Addresses.Next(ctx)
		if err != nil {
			return errNoInstanceReached
		}
		var answer caller.Completion
		h, err := g.newClient(address, id, "").DoHeader(ctx, http.MethodPost, "/v1/models/"+g.Settings.Deployment+"/completions", body, &answer)
		if errors.Is(err, client.ErrNoAnswer) && ctx.Err() == nil {
			g.Addresses.MarkFailed(address)
			continue
		}
		if err != nil {
			return err
		}
		versions, err := engine.VerifyText(prompt, uint64(n), answer.Text)
		if err != nil || len(versions) != g.Settings.MaxTokens {
			return fmt.Errorf("%w: %w", errWrongAnswer, err)
		}
		g.recordAnswer(id, h, due)
		return nil
	}
	return errNoInstanceReached
}

// Discrepancies counts contradictions between the outcomes that callers were given
// and the runs that the services recorded.
type Discrepancies struct {
	// RunTwice counts non-idempotent orders that ran more than once.
	RunTwice int `json:"run_twice"`
	// RefusedRan counts orders that were answered with "not run" and ran.
	RefusedRan int `json:"refused_ran"`
	// AnsweredNotRun counts orders that were answered and never ran.
	AnsweredNotRun int `json:"answered_not_run"`
}

// CompareRuns compares the outcomes with runs, the number of runs by order ID over
// all services. It checks nothing for a stream of completions.
func (g *Generator) CompareRuns(runs map[string]int) Discrepancies {
	var found Discrepancies
	if g.Settings.Kind == "model" {
		return found
	}
	for id, reported := range g.recorder.outcomes {
		n := runs[id]
		if n > 1 && !g.Settings.Idempotent {
			found.RunTwice++
		}
		if reported == outcomeRefused && n > 0 {
			found.RefusedRan++
		}
		if reported == outcomeAnswered && n == 0 {
			found.AnsweredNotRun++
		}
	}
	return found
}

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
func (l *Generator) Run(ctx context.Context) Result {
	l.recorder = newResultRecorder(l.Settings.Caller)
	l.httpClient = &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 256,
			IdleConnTimeout:     5 * time.Second,
		},
	}
	l.started = l.Timer.Now()
	r := rand.New(rand.NewPCG(l.Settings.Seed, 7))
	due := l.started
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxInFlight)
	for n := 0; ; n++ {
		due = due.Add(l.nextInterval(r, due))
		if wait := due.Sub(l.Timer.Now()); wait > 0 && !timer.Wait(l.Timer, wait, ctx.Done()) {
			break
		}
		if ctx.Err() != nil {
			break
		}
		slots <- struct{}{}
		at := due
		wg.Go(func() {
			defer func() { <-slots }()
			l.runRequest(n, at)
		})
		l.recorder.mu.Lock()
		l.recorder.result.Sent++
		l.recorder.mu.Unlock()
	}
	wg.Wait()
	return l.recorder.finish()
}

// nextInterval draws the time to the next arrival from an exponential
// distribution, with a higher or lower rate during the burst.
func (l *Generator) nextInterval(r *rand.Rand, due timer.Instant) time.Duration {
	rate := l.Settings.PerSecond
	at := due.Sub(l.started).Milliseconds()
	if at >= l.Settings.BurstFromMS && at < l.Settings.BurstToMS {
		rate *= l.Settings.BurstFactor
	}
	return time.Duration(-math.Log(1-r.Float64()) / rate * float64(time.Second))
}

// runRequest sends the n-th request and records its outcome. It repeats the request
// up to Settings.Retries times if the error says that it was not run and names a
// retry time.
func (l *Generator) runRequest(n int, due timer.Instant) {
	id := fmt.Sprintf("%s-%d-%d", l.Settings.Caller, l.Settings.Seed, n)
	var err error
	for try := 0; ; try++ {
		err = l.send(id, n, due)
		wait := problem.From(err).RetryAfter
		if err == nil || wait == 0 || try >= l.Settings.Retries || problem.From(err).Kind.Outcome != problem.NotRun {
			break
		}
		timer.Wait(l.Timer, wait, nil)
	}
	if err == nil {
		return
	}
	took := l.Timer.Now().Sub(due)
	switch {
	case errors.Is(err, errWrongAnswer):
		l.recorder.recordMismatch(id, err)
	case problem.From(err).Kind.Outcome == problem.NotRun:
		l.recorder.recordFailure(id, outcomeRefused, took, err)
	default:
		l.recorder.recordFailure(id, outcomeUnknown, took, err)
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
func (l *Generator) send(id string, n int, due timer.Instant) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(l.Settings.DeadlineMS)*time.Millisecond+2*time.Second)
	defer cancel()
	if l.Settings.Kind == "model" {
		return l.sendCompletion(ctx, id, n, due)
	}
	if l.Settings.Direct {
		return l.sendOrderTo(ctx, l.Services[n%len(l.Services)], "/orders", "", id, due)
	}
	ticket := ""
	for range maxInstanceAttempts {
		address, err := l.Addresses.Next(ctx)
		if err != nil {
			return errNoInstanceReached
		}
		if !l.Settings.Idempotent {
			ticket, err = l.requestTicket(ctx, address)
		}
		if err == nil {
			err = l.sendOrder(ctx, address, ticket, id, due)
		}
		if client.IsDialError(err) || problem.Is(err, problem.Leaving) {
			l.Addresses.MarkFailed(address)
			continue
		}
		for range maxTicketRetries {
			if !errors.Is(err, client.ErrNoAnswer) || ticket == "" {
				break
			}
			err = l.retryTicket(ctx, address, ticket, id, due)
		}
		return err
	}
	return errNoInstanceReached
}

// retryTicket repeats an order with the same ticket at another instance, to get
// the answer of the first attempt.
func (l *Generator) retryTicket(ctx context.Context, failed, ticket, id string, due timer.Instant) error {
	l.Addresses.MarkFailed(failed)
	timer.Wait(l.Timer, 50*time.Millisecond, ctx.Done())
	address, err := l.Addresses.Next(ctx)
	if err != nil {
		return err
	}
	return l.sendOrder(ctx, address, ticket, id, due)
}

// newClient returns a client that sends the headers of a request.
func (l *Generator) newClient(address, id, ticket string) client.Client {
	h := make(http.Header)
	h.Set(relay.HeaderCaller, l.Settings.Caller)
	h.Set(relay.HeaderRequestID, id)
	h.Set(relay.HeaderPriority, l.Settings.Priority)
	h.Set(relay.HeaderDeadline, strconv.FormatInt(l.Settings.DeadlineMS, 10))
	if ticket != "" {
		h.Set(relay.HeaderTicket, ticket)
	}
	if l.Settings.Idempotent {
		h.Set(relay.HeaderIdempotent, "true")
	}
	return client.Client{
		Address: address,
		Header:  h,
		HTTP:    l.httpClient,
	}
}

// requestTicket gets a ticket from the instance at address.
func (l *Generator) requestTicket(ctx context.Context, address string) (string, error) {
	var answer struct {
		Tickets []string `json:"tickets"`
	}
	if err := l.newClient(address, "", "").Do(ctx, http.MethodPost, "/v1/tickets", nil, &answer); err != nil {
		return "", err
	}
	return answer.Tickets[0], nil
}

// sendOrder sends an order through the instance at address.
func (l *Generator) sendOrder(ctx context.Context, address, ticket, id string, due timer.Instant) error {
	return l.sendOrderTo(ctx, address, "/v1/services/"+l.Settings.Deployment+"/orders", ticket, id, due)
}

// sendOrderTo sends an order to address, checks that the answer belongs to it, and
// records the answer.
func (l *Generator) sendOrderTo(ctx context.Context, address, path, ticket, id string, due timer.Instant) error {
	o := service.Order{
		OrderID: id,
		Detail:  "hide cut for " + id,
	}
	var answer service.Answer
	h, err := l.newClient(address, id, ticket).DoHeader(ctx, http.MethodPost, path, o, &answer)
	if err != nil {
		return err
	}
	if answer.OrderID != id || answer.Check != service.Check(o) {
		return fmt.Errorf("%w: sent order %s, got the answer to %s", errWrongAnswer, id, answer.OrderID)
	}
	l.recordAnswer(id, h, due)
	return nil
}

// recordAnswer records a correct answer with its latency, the attempts that the
// header names, and the second of the run in which it came.
func (l *Generator) recordAnswer(id string, h http.Header, due timer.Instant) {
	attempts, err := strconv.Atoi(h.Get(relay.HeaderAttempts))
	if err != nil {
		attempts = 1
	}
	now := l.Timer.Now()
	l.recorder.recordAnswer(id, now.Sub(due), attempts, int(now.Sub(l.started)/time.Second))
}

// sendCompletion sends a completion request and checks the text of the answer. It
// tries up to maxInstanceAttempts instances, also after a broken connection.
func (l *Generator) sendCompletion(ctx context.Context, id string, n int, due timer.Instant) error {
	prompt := fmt.Sprintf("%s asks for label wording %d", l.Settings.Caller, n%l.Settings.Prompts)
	body := caller.CompletionRequest{
		Prompt:    prompt,
		MaxTokens: l.Settings.MaxTokens,
		Seed:      uint64(n),
	}
	for range maxInstanceAttempts {
		address, err := l.Addresses.Next(ctx)
		if err != nil {
			return errNoInstanceReached
		}
		var answer caller.Completion
		h, err := l.newClient(address, id, "").DoHeader(ctx, http.MethodPost, "/v1/models/"+l.Settings.Deployment+"/completions", body, &answer)
		if errors.Is(err, client.ErrNoAnswer) && ctx.Err() == nil {
			l.Addresses.MarkFailed(address)
			continue
		}
		if err != nil {
			return err
		}
		versions, err := engine.VerifyText(prompt, uint64(n), answer.Text)
		if err != nil || len(versions) != l.Settings.MaxTokens {
			return fmt.Errorf("%w: %w", errWrongAnswer, err)
		}
		l.recordAnswer(id, h, due)
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
func (l *Generator) CompareRuns(runs map[string]int) Discrepancies {
	var c Discrepancies
	if l.Settings.Kind == "model" {
		return c
	}
	for id, reported := range l.recorder.outcomes {
		n := runs[id]
		if n > 1 && !l.Settings.Idempotent {
			c.RunTwice++
		}
		if reported == outcomeRefused && n > 0 {
			c.RefusedRan++
		}
		if reported == outcomeAnswered && n == 0 {
			c.AnsweredNotRun++
		}
	}
	return c
}

package usage

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

// Intervals and timeouts of reports.
const (
	// reportInterval is the time between two checks whether a report is due.
	reportInterval = 500 * time.Millisecond
	// collectDelay is how long after the end of a window all of its counts should have
	// reached the collectors.
	collectDelay = 1500 * time.Millisecond
	// missingDomainWait is how long after the end of a window its report waits for a
	// failure domain none of whose collectors answers.
	missingDomainWait = 5 * time.Second
	// findTimeout is the time limit for the answers of the collectors.
	findTimeout = 600 * time.Millisecond
	// storeTimeout is the time limit of one call to the key-value service.
	storeTimeout = 900 * time.Millisecond
	// reportTimeout is the time limit of sending one report.
	reportTimeout = 900 * time.Millisecond
)

// Report holds the counts of one window.
type Report struct {
	Window Window `json:"window"`
	Counts Counts `json:"counts"`
}

// Receiver accepts reports. After an error it is unknown whether the report was accepted.
// A Receiver ignores an exact repeat.
type Receiver interface {
	Report(ctx context.Context, fence uint64, r Report) error
}

// Holder reports whether this instance holds the duty to report.
type Holder interface {
	// FencingToken returns the fencing token, which is the revision of the duty's key, and
	// whether calls may be made now.
	FencingToken() (uint64, bool)
	// BeginCall returns the context for one call, or duty.ErrWithheld.
	BeginCall(ctx context.Context, fence uint64, timeout time.Duration) (call context.Context, end func(), err error)
}

// Reporter reports each window once while this instance holds the duty.
type Reporter struct {
	Holder Holder
	// DutyKey is the key that names the holder of the duty, Key the key of the last
	// report.
	DutyKey string
	Key     string
	Store   keyvalue.TransactionalStore
	Meter   *Meter
	// Collectors returns the peer addresses of collectors by failure domain.
	Collectors func() map[string][]string
	Peers      Peers
	Receiver   Receiver
	Timer      timer.Service
	Journal    *journal.Journal
	Metrics    *Metrics

	// fence is the fencing token under which the stored report was read, zero if it
	// has to be read again. revision is the revision of Key.
	fence    uint64
	revision uint64
	// last is the newest stored report. pending says that the receiver may not have
	// accepted it.
	last    *Report
	pending bool
	// firstWindow is the first window to report if there is no stored report.
	firstWindow Window
}

// Run calls Step every reportInterval until t dies.
func (r *Reporter) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	ticker := r.Timer.Every(reportInterval)
	defer ticker.Close()
	for {
		select {
		case <-ticker.C:
		case <-t.Dying():
			return nil
		}
		if err := r.Step(ctx); err != nil {
			r.Journal.Warn("usage not reported", err, log.Fields{
				"window": r.nextWindow(),
			})
		}
	}
}

// Step stores and sends the report that is due, if any, of one window at most.
func (r *Reporter) Step(ctx context.Context) error {
	fence, ok := r.Holder.FencingToken()
	if !ok {
		r.fence = 0
		return nil
	}
	if fence != r.fence {
		if err := r.loadLast(ctx, fence); err != nil {
			return err
		}
	}
	if r.pending {
		return r.sendLast(ctx)
	}
	w := r.nextWindow()
	age := r.Meter.Now().Sub(w.End(r.Meter.WindowLength))
	if age < collectDelay {
		return nil
	}
	counts, missing := r.gather(ctx, w)
	if len(missing) > 0 && age < missingDomainWait {
		return nil
	}
	return r.storeAndSend(ctx, Report{Window: w, Counts: counts}, missing)
}

// loadLast reads the last stored report, from this instance or another one. It is unknown
// whether the receiver accepted it, so it is sent again.
func (r *Reporter) loadLast(ctx context.Context, fence uint64) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	item, err := r.Store.Get(ctx, r.Key)
	if err != nil && !errors.Is(err, keyvalue.ErrNotFound) {
		return err
	}
	r.last, r.pending = nil, false
	if item.Revision != 0 {
		last := &Report{}
		if err := json.Unmarshal(item.Value, last); err != nil {
			// The next report replaces it.
			r.Journal.Warn("the last usage report can't be read", err, log.Fields{
				"key": r.Key,
			})
		} else {
			r.last, r.pending = last, true
		}
	}
	r.fence, r.revision = fence, item.Revision
	return nil
}

// nextWindow returns the window to report next. It skips windows that are so old that no
// collector keeps them any more.
func (r *Reporter) nextWindow() Window {
	now := WindowAt(r.Meter.Now(), r.Meter.WindowLength)
	if r.firstWindow == 0 {
		r.firstWindow = now
	}
	next := r.firstWindow
	if r.last != nil {
		next = r.last.Window + 1
	}
	return max(next, now-retainedWindows+1)
}

// gather returns the total counts of a window and the failure domains none of whose
// collectors answered. It asks all collectors of a domain, because one may have counts that
// the other has missed.
func (r *Reporter) gather(ctx context.Context, w Window) (Counts, []string) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	records := []Record{r.Meter.Record()}
	answered := make(map[string]bool)
	domains := r.Collectors()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for domain, addresses := range domains {
		for _, address := range addresses {
			wg.Go(func() {
				found, err := r.Peers.Find(ctx, address, w)
				if err != nil {
					r.Journal.Debug("collector does not answer", log.Fields{
						"collector": address,
						"window":    w,
						"error":     err.Error(),
					})
					return
				}
				mu.Lock()
				defer mu.Unlock()
				answered[domain] = true
				records = append(records, found...)
			})
		}
	}
	wg.Wait()
	var missing []string
	for domain := range domains {
		if !answered[domain] {
			missing = append(missing, domain)
		}
	}
	return Sum(w, records), missing
}

// storeAndSend stores a report and sends it.
func (r *Reporter) storeAndSend(ctx context.Context, report Report, missing []string) error {
	value, err := json.Marshal(report)
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, err := r.Store.Commit(callCtx, keyvalue.Transaction{
		Expects: []keyvalue.Condition{
			{Key: r.DutyKey, Revision: r.fence},
			{Key: r.Key, Revision: r.revision},
		},
		Writes: []keyvalue.Write{
			{Key: r.Key, Value: value},
		},
	})
	if err != nil {
		// Reading the key again shows whether the report was stored, or another
		// instance stored one.
		r.fence = 0
		return err
	}
	r.revision = revision
	r.last, r.pending = &report, true
	r.Metrics.recordReport(report, len(missing))
	r.Journal.Decision("report_usage", log.Fields{
		"window":        report.Window,
		"requests":      total(report.Counts),
		"organisations": len(report.Counts),
		"counts":        string(value),
		"left_out":      len(missing),
		"fencing":       r.fence,
		"age_ms":        r.Meter.Now().Sub(report.Window.End(r.Meter.WindowLength)).Milliseconds(),
	})
	return r.sendLast(ctx)
}

// total returns the number of requests of all organisations.
func total(c Counts) int {
	n := 0
	for _, requests := range c {
		n += requests
	}
	return n
}

// sendLast sends the last stored report, if this instance still holds the duty under the
// same fencing token.
func (r *Reporter) sendLast(ctx context.Context) error {
	if fence, ok := r.Holder.FencingToken(); !ok || fence != r.fence {
		return nil
	}
	ctx, end, err := r.Holder.BeginCall(ctx, r.fence, reportTimeout)
	if err != nil {
		return err
	}
	defer end()
	if err := r.Receiver.Report(ctx, r.fence, *r.last); err != nil {
		return err
	}
	r.pending = false
	return nil
}

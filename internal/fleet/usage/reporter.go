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

// The times of reports.
const (
	// reportEvery is how often the reporter looks whether a report is due.
	reportEvery = 500 * time.Millisecond
	// settle is how long after the end of a window all that was counted in it has been
	// sent.
	settle = 1500 * time.Millisecond
	// patience is how long after its end a window waits for a failure domain of which
	// no collector answers.
	patience = 5 * time.Second
	// findTimeout bounds the answer of a collector.
	findTimeout = 600 * time.Millisecond
	// storeTimeout bounds one call of the key-value service.
	storeTimeout = 900 * time.Millisecond
	// reportTimeout bounds one report.
	reportTimeout = 900 * time.Millisecond
)

// Report is what is told of one window.
type Report struct {
	Window Window `json:"window"`
	Counts Counts `json:"counts"`
}

// Receiver takes reports. An error leaves open whether it took the report; it ignores an
// exact repeat.
type Receiver interface {
	Report(ctx context.Context, fence uint64, r Report) error
}

// Holder tells whether this instance reports.
type Holder interface {
	// Fence returns the fencing token, which is the revision of the duty's key, and
	// whether calls may be made now.
	Fence() (uint64, bool)
}

// Reporter reports each window once while this instance has the duty.
type Reporter struct {
	Holder Holder
	// DutyKey is where the holder of the duty lies, Key where its reports do.
	DutyKey string
	Key     string
	Space   keyvalue.Space
	Meter   *Meter
	// Collectors returns the peer addresses of collectors by failure domain.
	Collectors func() map[string][]string
	Peers      Peers
	Receiver   Receiver
	Timer      timer.Service
	Journal    *journal.Journal
	Metrics    *Metrics

	// fence is that under which the record was read.
	fence    uint64
	revision uint64
	// last is the newest report that was written down, pending says that it may not
	// have been taken.
	last    *Report
	pending bool
	// begun is the first window that there is to report.
	begun Window
}

// Run reports until t dies.
func (r *Reporter) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	look := r.Timer.Every(reportEvery)
	defer look.Close()
	for {
		select {
		case <-look.C:
		case <-t.Dying():
			return nil
		}
		if err := r.Step(ctx); err != nil {
			r.Journal.Trouble("usage not reported", err, log.Fields{
				"window": r.next(),
			})
		}
	}
}

// Step does what is due, one window at the most.
func (r *Reporter) Step(ctx context.Context) error {
	fence, ok := r.Holder.Fence()
	if !ok {
		r.fence = 0
		return nil
	}
	if fence != r.fence {
		if err := r.load(ctx, fence); err != nil {
			return err
		}
	}
	if r.pending {
		return r.send(ctx)
	}
	w := r.next()
	age := r.Meter.Now().Sub(w.End(r.Meter.Length))
	if age < settle {
		return nil
	}
	counts, missing := r.gather(ctx, w)
	if len(missing) > 0 && age < patience {
		return nil
	}
	return r.report(ctx, Report{Window: w, Counts: counts}, missing)
}

// load reads what was reported last, by this instance or another one. Whether that was
// taken is not known, so it is sent once more.
func (r *Reporter) load(ctx context.Context, fence uint64) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	item, err := r.Space.Get(ctx, r.Key)
	if err != nil && !errors.Is(err, keyvalue.ErrNotFound) {
		return err
	}
	r.last, r.pending = nil, false
	if item.Revision != 0 {
		r.last = &Report{}
		if err := json.Unmarshal(item.Value, r.last); err != nil {
			return err
		}
		r.pending = true
	}
	r.fence, r.revision = fence, item.Revision
	return nil
}

// next returns the window to report next. What is too old to be remembered anywhere is
// left out.
func (r *Reporter) next() Window {
	now := WindowAt(r.Meter.Now(), r.Meter.Length)
	if r.begun == 0 {
		r.begun = now
	}
	next := r.begun
	if r.last != nil {
		next = r.last.Window + 1
	}
	return max(next, now-keptWindows+1)
}

// gather sums up a window, and returns the failure domains of which nobody answered. All
// collectors of a domain are asked: what one missed the other may have.
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
					r.Journal.Detail("collector does not answer", log.Fields{
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

// report writes a report down and sends it.
func (r *Reporter) report(ctx context.Context, report Report, missing []string) error {
	value, err := json.Marshal(report)
	if err != nil {
		return err
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, err := r.Space.Commit(call, keyvalue.Transaction{
		Expects: []keyvalue.Expect{
			{Key: r.DutyKey, Revision: r.fence},
			{Key: r.Key, Revision: r.revision},
		},
		Writes: []keyvalue.Write{
			{Key: r.Key, Value: value},
		},
	})
	if err != nil {
		// Whether it was written, or by whom else, shows when it is read again.
		r.fence = 0
		return err
	}
	r.revision = revision
	r.last, r.pending = &report, true
	r.Metrics.reported(report, len(missing))
	r.Journal.Decision("report_usage", log.Fields{
		"window":        report.Window,
		"requests":      total(report.Counts),
		"organisations": len(report.Counts),
		"counts":        string(value),
		"left_out":      len(missing),
		"fencing":       r.fence,
		"age_ms":        r.Meter.Now().Sub(report.Window.End(r.Meter.Length)).Milliseconds(),
	})
	return r.send(ctx)
}

func total(c Counts) int {
	n := 0
	for _, k := range c {
		n += k
	}
	return n
}

// send sends the report that was written down last, if this instance still has the duty.
func (r *Reporter) send(ctx context.Context) error {
	if fence, ok := r.Holder.Fence(); !ok || fence != r.fence {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if err := r.Receiver.Report(ctx, r.fence, *r.last); err != nil {
		return err
	}
	r.pending = false
	return nil
}

package localfleet

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"syscall"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/load/scenario"
	"github.com/egretbend/egretbend/internal/standin/fault"
)

// RunEvents applies the scenario's events at their times. It returns after the
// last one or when ctx ends.
func (f *Fleet) RunEvents(ctx context.Context) {
	type scheduledEvent struct {
		at    time.Duration
		event scenario.Event
	}
	var schedule []scheduledEvent
	for _, e := range f.Scenario.Events {
		at := time.Duration(e.AtMS) * time.Millisecond
		schedule = append(schedule, scheduledEvent{
			at:    at,
			event: e,
		})
		for e.EveryMS > 0 && at < time.Duration(f.Scenario.Seconds)*time.Second {
			at += time.Duration(e.EveryMS) * time.Millisecond
			schedule = append(schedule, scheduledEvent{
				at:    at,
				event: e,
			})
		}
	}
	sort.SliceStable(schedule, func(i, j int) bool { return schedule[i].at < schedule[j].at })
	started := f.Timer.Now()
	for _, scheduled := range schedule {
		wait := scheduled.at - f.Timer.Now().Sub(started)
		if wait > 0 && !timer.Wait(f.Timer, wait, ctx.Done()) {
			return
		}
		f.applyEvent(ctx, scheduled.event)
	}
}

// applyEvent applies one event to all its targets. Errors are ignored: a target
// may already have ended.
func (f *Fleet) applyEvent(ctx context.Context, e scenario.Event) {
	for _, p := range f.resolveTargets(e.Target) {
		switch e.Action {
		case "fault":
			post(ctx, p.Address+fault.Path, e.FaultBody())
		case "leave":
			post(ctx, p.Address+"/leave", nil)
		case "freeze":
			p.Signal(syscall.SIGSTOP)
		case "thaw":
			p.Signal(syscall.SIGCONT)
		case "stop":
			f.terminated[p.Name] = true
			p.Signal(syscall.SIGTERM)
		case "kill":
			f.terminated[p.Name] = true
			p.Signal(syscall.SIGKILL)
		case "restart":
			if !p.Alive() {
				_ = p.start()
			}
		}
	}
}

// resolveTargets returns the processes that a target of an event stands for: the
// process of that name, all processes whose name begins with the text before a
// trailing *, or one of them in turn for a trailing "any".
func (f *Fleet) resolveTargets(target string) []*Process {
	if p, ok := f.byName[target]; ok {
		return []*Process{p}
	}
	prefix, matchAll := strings.CutSuffix(target, "*")
	matchOne := false
	if !matchAll {
		prefix, matchOne = strings.CutSuffix(target, "any")
	}
	var names []string
	for name := range f.byName {
		if (matchAll || matchOne) && strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	if matchOne && len(names) > 0 {
		if f.nextMatch == nil {
			f.nextMatch = make(map[string]int)
		}
		f.nextMatch[target]++
		names = names[f.nextMatch[target]%len(names):][:1]
	}
	list := make([]*Process, 0, len(names))
	for _, name := range names {
		list = append(list, f.byName[name])
	}
	return list
}

// post sends body to url and ignores the answer and any error.
func post(ctx context.Context, url string, body []byte) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s", url), bytes.NewReader(body))
	if err != nil {
		return
	}
	if res, err := http.DefaultClient.Do(req); err == nil {
		_ = res.Body.Close()
	}
}

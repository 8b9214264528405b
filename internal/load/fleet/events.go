package fleet

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

// RunEvents brings about the scenario's events until ctx ends.
func (f *Fleet) RunEvents(ctx context.Context) {
	type due struct {
		at    time.Duration
		event scenario.Event
	}
	var list []due
	for _, e := range f.Scenario.Events {
		at := time.Duration(e.AtMS) * time.Millisecond
		list = append(list, due{
			at:    at,
			event: e,
		})
		for e.EveryMS > 0 && at < time.Duration(f.Scenario.Seconds)*time.Second {
			at += time.Duration(e.EveryMS) * time.Millisecond
			list = append(list, due{
				at:    at,
				event: e,
			})
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].at < list[j].at })
	started := f.Timer.Now()
	for _, d := range list {
		wait := d.at - f.Timer.Now().Sub(started)
		if wait > 0 && !timer.Wait(f.Timer, wait, ctx.Done()) {
			return
		}
		f.bring(ctx, d.event)
	}
}

// bring brings about one event at all its targets.
func (f *Fleet) bring(ctx context.Context, e scenario.Event) {
	for _, p := range f.targets(e.Target) {
		switch e.Action {
		case "fault":
			post(ctx, p.Address+fault.Path, e.Body())
		case "leave":
			post(ctx, p.Address+"/leave", nil)
		case "freeze":
			p.Signal(syscall.SIGSTOP)
		case "thaw":
			p.Signal(syscall.SIGCONT)
		case "stop":
			f.crashed[p.Name] = true
			p.Signal(syscall.SIGTERM)
		case "kill":
			f.crashed[p.Name] = true
			p.Signal(syscall.SIGKILL)
		case "restart":
			if !p.Alive() {
				_ = p.start()
			}
		}
	}
}

// targets resolves a target's name.
func (f *Fleet) targets(target string) []*Process {
	if p, ok := f.byName[target]; ok {
		return []*Process{p}
	}
	prefix, all := strings.CutSuffix(target, "*")
	one := false
	if !all {
		prefix, one = strings.CutSuffix(target, "any")
	}
	var names []string
	for name := range f.byName {
		if (all || one) && strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	if one && len(names) > 0 {
		if f.turns == nil {
			f.turns = make(map[string]int)
		}
		f.turns[target]++
		names = names[f.turns[target]%len(names):][:1]
	}
	list := make([]*Process, 0, len(names))
	for _, name := range names {
		list = append(list, f.byName[name])
	}
	return list
}

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

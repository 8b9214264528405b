package runner

import (
	"slices"

	"github.com/egretbend/egretbend/internal/batch/schedule"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/catalog"
)

// warmPrompt says that the prompt of a group was sent to an engine.
type warmPrompt struct {
	u *catalog.Upstream
	// version is the weight version that the engine had; other weights read it again.
	version uint64
	sentAt  timer.Instant
	// by is the task whose attempt sent the prompt first.
	by *task
}

// sharesPrompt reports whether the items of the task's group may share its prompt.
func (t *task) sharesPrompt() bool { return t.item.Group != "" && t.item.PromptTokens > 0 }

// warmPrompts returns the engines that have read the prompt of a task for another item of its
// group. The caller holds b.mu.
func (b *Batch) warmPrompts(t *task, now timer.Instant) []warmPrompt {
	if !t.sharesPrompt() {
		return nil
	}
	list := b.prompts[t.item.Group]
	if len(list) == 0 {
		return nil
	}
	list = slices.DeleteFunc(list, func(p warmPrompt) bool {
		return now.Sub(p.sentAt) >= schedule.WarmTime || p.u.ModelVersion(b.sub.Model) != p.version
	})
	b.prompts[t.item.Group] = list
	return list
}

// isWarm reports whether an engine has read the prompt of a task. The caller holds b.mu.
func (b *Batch) isWarm(t *task, u *catalog.Upstream, now timer.Instant) bool {
	return slices.ContainsFunc(b.warmPrompts(t, now), func(p warmPrompt) bool { return p.u == u })
}

// promptSent records that the prompt of a task is being sent to an engine. The caller holds
// b.mu.
func (b *Batch) promptSent(t *task, u *catalog.Upstream, now timer.Instant) {
	if !t.sharesPrompt() {
		return
	}
	list := b.warmPrompts(t, now)
	sent := warmPrompt{
		u:       u,
		version: u.ModelVersion(b.sub.Model),
		sentAt:  now,
		by:      t,
	}
	if i := slices.IndexFunc(list, func(p warmPrompt) bool { return p.u == u }); i >= 0 {
		sent.by = list[i].by
		list = slices.Delete(list, i, i+1)
	}
	list = append(list, sent)
	if len(list) > schedule.MaxWarmEngines {
		list = slices.Delete(list, 0, len(list)-schedule.MaxWarmEngines)
	}
	if b.prompts == nil {
		b.prompts = make(map[string][]warmPrompt)
	}
	b.prompts[t.item.Group] = list
}

// promptNotRead records that the attempt of a task ended before its first event: the engine may
// not have read the prompt. The caller holds b.mu.
func (b *Batch) promptNotRead(t *task, u *catalog.Upstream) {
	list := b.prompts[t.item.Group]
	if len(list) == 0 {
		return
	}
	b.prompts[t.item.Group] = slices.DeleteFunc(list, func(p warmPrompt) bool { return p.u == u && p.by == t })
}

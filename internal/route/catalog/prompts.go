package catalog

import "sync/atomic"

// promptQueue counts the prompts that this instance sent to an engine, in tokens. An engine
// reads a prompt before it generates the first event.
type promptQueue struct {
	// unread is the sum of the prompts without a first event, sent the sum of all prompts.
	unread, sent atomic.Int64
}

// PromptMark is the position of a prompt among those that were sent to an engine.
type PromptMark struct{ unread, sent int64 }

// SendPrompt records that a prompt of the given number of tokens is being sent.
func (u *Upstream) SendPrompt(tokens int64) PromptMark {
	return PromptMark{
		unread: u.prompts.unread.Add(tokens),
		sent:   u.prompts.sent.Add(tokens),
	}
}

// PromptRead records that a prompt was read, or that its request ended before.
func (u *Upstream) PromptRead(tokens int64) { u.prompts.unread.Add(-tokens) }

// PromptsAhead returns the tokens of the prompts that the engine may have to read before the
// first event of the prompt with the given mark: those that were unread when it was sent, its
// own, and those that followed, as an engine may read several together.
func (u *Upstream) PromptsAhead(mark PromptMark) int64 {
	return mark.unread + u.prompts.sent.Load() - mark.sent
}

// UnreadPrompts returns the tokens of the prompts without a first event.
func (u *Upstream) UnreadPrompts() int64 { return u.prompts.unread.Load() }

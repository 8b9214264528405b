package bulletin

import (
	"encoding/json"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/crash"
	"github.com/egretbend/egretbend/internal/route/fingerprint"
	"github.com/egretbend/egretbend/internal/route/suspect"
)

// maxNotices bounds what one instance tells.
const maxNotices = 48

// notice is one thing that an instance has seen: that an upstream ended under a request,
// or that a request ran to its end.
type notice struct {
	Print fingerprint.Print `json:"print"`
	// Upstream is the incarnation that ended; empty if the request ran to its end.
	Upstream crash.Incarnation `json:"upstream,omitempty"`
	// Row is that of the crash.
	Row int `json:"row,omitempty"`
	// AgeMS is how long ago it was when the key was written.
	AgeMS int64 `json:"age_ms"`

	at timer.Instant
	// told says that the key holds it.
	told bool
}

// crash returns the notice as evidence.
func (n notice) crash() suspect.Crash {
	return suspect.Crash{
		Incarnation: n.Upstream,
		Print:       n.Print,
		At:          n.at,
		Row:         n.Row,
	}
}

// encode returns the value of the key.
func encode(notices []notice, now timer.Instant) ([]byte, error) {
	list := make([]notice, 0, len(notices))
	for _, n := range notices {
		n.AgeMS = now.Sub(n.at).Milliseconds()
		list = append(list, n)
	}
	return json.Marshal(list)
}

// decode returns what an instance tells.
func decode(value []byte, now timer.Instant) ([]notice, error) {
	var list []notice
	if err := json.Unmarshal(value, &list); err != nil {
		return nil, err
	}
	for i := range list {
		list[i].at = now.Add(-time.Duration(max(0, list[i].AgeMS)) * time.Millisecond)
	}
	return list, nil
}

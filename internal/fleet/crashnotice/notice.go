package crashnotice

import (
	"encoding/json"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/route/crash"
	"github.com/egretbend/egretbend/internal/route/fingerprint"
	"github.com/egretbend/egretbend/internal/route/poison"
)

// maxNotices bounds the notices that one instance publishes.
const maxNotices = 48

// notice is what an instance publishes: that an upstream crashed while it ran a request,
// or that a request was answered.
type notice struct {
	Print fingerprint.Fingerprint `json:"print"`
	// Upstream is the incarnation that crashed; empty if the request was answered.
	Upstream crash.Incarnation `json:"upstream,omitempty"`
	// Row is the number of consecutive crashes, see poison.Crash.Consecutive.
	Row int `json:"row,omitempty"`
	// AgeMS is the age of the notice in milliseconds when it was published.
	AgeMS int64 `json:"age_ms"`

	at timer.Instant
	// published is set while the published value holds the notice.
	published bool
}

// crash converts the notice of a crash for poison.Tracker.
func (n notice) crash() poison.Crash {
	return poison.Crash{
		Incarnation: n.Upstream,
		Fingerprint: n.Print,
		At:          n.at,
		Consecutive: n.Row,
	}
}

// encode returns the value of the key that holds the notices.
func encode(notices []notice, now timer.Instant) ([]byte, error) {
	list := make([]notice, 0, len(notices))
	for _, n := range notices {
		n.AgeMS = now.Sub(n.at).Milliseconds()
		list = append(list, n)
	}
	return json.Marshal(list)
}

// decode returns the notices that another instance published.
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

package registry

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/kernel/journal"
	"github.com/egretbend/egretbend/internal/kernel/timer"
	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

// Guards against entries of another writer that are taken for instances: clients would be sent to an
// address that there is not, and one with more cores than any machine has would leave no instance
// eligible for batches.
func TestOddEntriesAreNoInstances(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	j, err := journal.Open(&out, "warn", "i")
	is.NoErr(err)
	r := &Registry{
		Timer:   timer.Real{},
		Journal: j,
	}
	r.SetSelf(Member{Name: "me", Incarnation: "1", Cores: 1})
	sound, err := json.Marshal(Member{Name: "other", Incarnation: "1", PeerAddress: "10.0.0.2:80", EntryAddress: "10.0.0.2:81", Cores: 1})
	is.NoErr(err)
	odd := []string{
		"", "null", "{}", "[]", "\x00\xff", strings.Repeat("[", 60_000), `{"name":1}`, `{"name":"another","incarnation":"1"}`,
		`{"name":"odd","incarnation":"1","cores":1e999}`, `{"name":"odd","incarnation":"1","cores":1e300}`,
		`{"name":"odd","incarnation":"1","cores":-1}`, `{"name":"odd","incarnation":"1","entry_address":"10.0.0.1:99999"}`,
		`{"name":"odd"}`,
	}
	for revision := range uint64(3) {
		for _, value := range odd {
			r.applyChanges([]keyvalue.Change{
				{Item: keyvalue.Item{Key: InstanceKey("odd"), Value: []byte(value), Revision: revision + 1}},
				{Item: keyvalue.Item{Key: InstanceKey("other"), Value: sound, Revision: revision + 1}},
			})
			names := []string{}
			for _, m := range r.Members() {
				names = append(names, m.Name)
			}
			is.Equal(names, []string{"me", "other"})
			is.Equal(len(Eligible(r.Members())), 2)
		}
	}
	out.Reset()
	for range 50 {
		r.applyChanges([]keyvalue.Change{{Item: keyvalue.Item{Key: InstanceKey("odd"), Value: []byte("null")}}})
	}
	is.NoErr(j.Flush())
	is.True(strings.Count(out.String(), "invalid instance entry") <= len(odd)*3+1)
	is.True(strings.Contains(out.String(), "key="+InstanceKey("odd")))
}

package watchrelay

import (
	"bytes"
	"encoding/gob"
	"testing"

	"github.com/matryer/is"

	"github.com/egretbend/egretbend/internal/outside/keyvalue"
)

// newListReply returns the listing of n upstreams.
func newListReply(n int) ListReply {
	r := ListReply{Listing: keyvalue.Listing{Revision: uint64(n)}}
	for _, c := range listChanges(n, 0) {
		r.Listing.Items = append(r.Listing.Items, c.Item)
	}
	return r
}

// Guards against a list of upstreams that does not arrive within listTimeout on a small link, and
// against one that differs from what the watcher has.
func TestListIsSentCompressed(t *testing.T) {
	is := is.New(t)
	for _, want := range []ListReply{newListReply(1000), {Stale: true}, {}} {
		var sent bytes.Buffer
		is.NoErr(gob.NewEncoder(&sent).Encode(&want))
		size := 0
		for _, item := range want.Listing.Items {
			size += len(item.Key) + len(item.Value)
		}
		is.True(sent.Len() <= size/8+512)
		var got ListReply
		is.NoErr(gob.NewDecoder(&sent).Decode(&got))
		is.Equal(got, want)
	}
	var got ListReply
	is.True(got.GobDecode([]byte("not a list")) != nil)
}

// BenchmarkList measures sending and receiving a list of 10,000 upstreams.
func BenchmarkList(b *testing.B) {
	reply := newListReply(10_000)
	var data []byte
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			var err error
			if data, err = reply.GobEncode(); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(data))/1e6, "MB")
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			var got ListReply
			if err := got.GobDecode(data); err != nil {
				b.Fatal(err)
			}
		}
	})
}

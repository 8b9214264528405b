package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
)

// BenchmarkReadStream measures the time per token of reading a stream.
func BenchmarkReadStream(b *testing.B) {
	const tokens = 1000
	var stream bytes.Buffer
	for i := range tokens {
		data, err := json.Marshal(StreamEvent{
			Attempt: "cutting.1.3/g14/1.366.1",
			Choices: []Choice{{
				Text:  "3fa1@1.17 ",
				Index: i,
			}},
		})
		if err != nil {
			b.Fatal(err)
		}
		fmt.Fprintf(&stream, "data: %s\n\n", data)
	}
	fmt.Fprintf(&stream, "data: {\"attempt\":\"cutting.1.3/g14/1.366.1\",\"choices\":[{\"finish_reason\":\"length\"}]}\n\ndata: [DONE]\n\n")
	b.ReportAllocs()
	for b.Loop() {
		n := 0
		_, err := readStream(bytes.NewReader(stream.Bytes()), Request{
			Attempt: "cutting.1.3/g14/1.366.1",
		}, func(Token) error {
			n++
			return nil
		})
		if err != nil || n != tokens {
			b.Fatal(n, err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/tokens, "ns/token")
}

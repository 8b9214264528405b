// Package sample holds a finished sample and the true record of its origin.
//
// A Recorder takes the tokens of a stream in order and notes which weight
// version made which of them, in the engine's own words:
//
//	var rec sample.Recorder
//	err := rec.Add(token)
//	spans := rec.Spans // {1.4 tokens 0-17} {1.5 tokens 18-40}
//
// A swap in mid-stream gives two spans. A stream that doesn't name its version
// is no sample.
package sample

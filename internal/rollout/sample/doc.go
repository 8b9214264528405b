// Package sample defines a finished sample and the record of which weight versions
// generated it.
//
// A Recorder takes the tokens of a stream in order and records the weight version
// that the engine reports for each of them:
//
//	var rec sample.Recorder
//	err := rec.Add(token)
//	spans := rec.Spans // {1.4 tokens 0-17} {1.5 tokens 18-40}
//
// If the engine swaps its weights during a stream, the record has two spans. A
// token without a version is rejected, so every Sample has a complete record.
package sample

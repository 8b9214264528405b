// Package gossip spreads small monotone facts between instances.
//
// A fact is an Entry: a kind, a key, a version and a value. Of two entries
// with the same kind and key the higher version wins, so any instance may pass
// on any entry, in any order, any number of times:
//
//	var s gossip.State
//	s.Merge(entry)            // true when it was news
//	reply := s.Answer(args)   // what the asking instance lacks
//
// Two instances compare one root hash first. Only when it differs do they
// compare the hashes of the buckets, and then send the entries of those that
// differ. Fresh entries travel along at once. In a quiet fleet an exchange is
// therefore a few dozen bytes, however many entries there are.
package gossip

// Package gossip replicates small versioned entries to all instances of the
// fleet by anti-entropy exchanges.
//
// An Entry has a kind, a key, a version and a value. Of two entries with the
// same kind and key the one with the higher version wins, so any instance may
// pass on any entry, in any order, any number of times. State holds the entries
// that one instance knows, and builds and answers the messages of an exchange:
//
//	var s gossip.State
//	s.Merge(entry)                   // true if the entry was newer
//	reply := s.HandleArgs(args, now) // the entries that the sender of args lacks
//
// Two instances first compare one root hash of all their entries. Only if it
// differs do they compare a hash for each bucket of keys, and then send the
// entries of the buckets that differ. Recently merged entries are sent along
// with the first message and its reply. While nothing changes in the fleet, an
// exchange therefore takes a few dozen bytes, however many entries there are.
package gossip

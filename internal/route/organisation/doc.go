// Package organisation tells by the key of a request on whose behalf it is made.
//
// Only digests of keys are kept. A Directory is immutable and is part of a
// configuration:
//
//	d := organisation.NewDirectory([]organisation.Organisation{{
//		Name:    "saddlers",
//		Digests: []organisation.Digest{organisation.DigestOf("a key")},
//	}})
//	key, err := organisation.KeyOf(r.Header)
//	org, ok := d.Find(key)
package organisation

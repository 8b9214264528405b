// Package organisation determines the organisation on whose behalf a request is made, from the
// key that the request carries.
//
// Only digests of keys are stored. A Directory is immutable and is part of a
// configuration:
//
//	d := organisation.NewDirectory([]organisation.Organisation{{
//		Name:    "saddlers",
//		Digests: []organisation.Digest{organisation.DigestOf("a key")},
//	}})
//	key, err := organisation.KeyOf(r.Header)
//	org, ok := d.Find(key)
//
// When an instance forwards a message, Sign and Directory.Verify authenticate the
// organisation without sending the key.
package organisation

package organisation

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
)

// Sign returns a message authentication code, keyed with the digest of key. An instance that
// read the key sends it to another one as proof of the organisation on whose behalf the message
// is forwarded. The key itself is not sent.
func Sign(key, message string) string {
	digest := DigestOf(key)
	return digest.messageMAC(message)
}

// messageMAC returns the HMAC-SHA-256 of a message in hexadecimal form, keyed with d.
func (d Digest) messageMAC(message string) string {
	mac := hmac.New(sha256.New, d[:])
	mac.Write([]byte(message))
	return hex.EncodeToString(mac.Sum(nil))
}

// Verify returns the named organisation if voucher was made for message with one of its keys.
func (d Directory) Verify(name, message, voucher string) (Organisation, bool) {
	for _, e := range d.byDigest {
		if e.organisation.Name == name && hmac.Equal([]byte(e.digest.messageMAC(message)), []byte(voucher)) {
			return e.organisation, true
		}
	}
	return Organisation{}, false
}

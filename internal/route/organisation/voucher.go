package organisation

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
)

// Vouch returns a word by which an instance that read a key shows another one on whose
// behalf a message is passed on. The key itself goes nowhere.
func Vouch(key, message string) string {
	digest := DigestOf(key)
	return digest.vouch(message)
}

func (d Digest) vouch(message string) string {
	mac := hmac.New(sha256.New, d[:])
	mac.Write([]byte(message))
	return hex.EncodeToString(mac.Sum(nil))
}

// Vouched returns the organisation of a name if a key of its own vouches for the message.
func (d Directory) Vouched(name, message, voucher string) (Organisation, bool) {
	for _, e := range d.byDigest {
		if e.organisation.Name == name && hmac.Equal([]byte(e.digest.vouch(message)), []byte(voucher)) {
			return e.organisation, true
		}
	}
	return Organisation{}, false
}

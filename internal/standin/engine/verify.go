package engine

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/egretbend/egretbend/internal/fleet/version"
)

// TokenText returns the text of the token at index: a hash of prompt, seed and index,
// followed by the weight version that generated it.
func TokenText(prompt string, seed uint64, index int, v version.Version) string {
	h := xxhash.Sum64String(fmt.Sprintf("%s|%d|%d", prompt, seed, index))
	return fmt.Sprintf("%04x@%s ", uint16(h), v)
}

// VerifyText verifies that text was generated for prompt and seed, and returns the
// weight version of each of its tokens.
func VerifyText(prompt string, seed uint64, text string) ([]version.Version, error) {
	fields := strings.Fields(text)
	versions := make([]version.Version, 0, len(fields))
	for i, field := range fields {
		_, stamp, ok := strings.Cut(field, "@")
		if !ok {
			return nil, fmt.Errorf("token %d has no version: %q", i, field)
		}
		var v version.Version
		if _, err := fmt.Sscanf(stamp, "%d.%d", &v.Epoch, &v.Number); err != nil {
			return nil, fmt.Errorf("token %d: parse version %q: %w", i, stamp, err)
		}
		if field+" " != TokenText(prompt, seed, i, v) {
			return nil, fmt.Errorf("token %d belongs to another prompt, seed or index: %q", i, field)
		}
		versions = append(versions, v)
	}
	return versions, nil
}

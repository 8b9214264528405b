package engine

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/egretbend/egretbend/internal/fleet/version"
)

// Text returns the text of one token: a word that follows from prompt, seed
// and place, and the version that made it.
func Text(prompt string, seed uint64, index int, v version.Version) string {
	h := xxhash.Sum64String(fmt.Sprintf("%s|%d|%d", prompt, seed, index))
	return fmt.Sprintf("%04x@%s ", uint16(h), v)
}

// Truth checks the text of a generation against its prompt, and returns the
// version of each token in the text.
func Truth(prompt string, seed uint64, text string) ([]version.Version, error) {
	fields := strings.Fields(text)
	versions := make([]version.Version, 0, len(fields))
	for i, field := range fields {
		_, stamp, ok := strings.Cut(field, "@")
		if !ok {
			return nil, fmt.Errorf("token %d is not whole: %q", i, field)
		}
		var v version.Version
		if _, err := fmt.Sscanf(stamp, "%d.%d", &v.Epoch, &v.Number); err != nil {
			return nil, fmt.Errorf("token %d: %w", i, err)
		}
		if field+" " != Text(prompt, seed, i, v) {
			return nil, fmt.Errorf("token %d belongs to another prompt or place: %q", i, field)
		}
		versions = append(versions, v)
	}
	return versions, nil
}

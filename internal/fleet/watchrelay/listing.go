package watchrelay

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"
	"sync"
)

// maxListBytes bounds a list that is received, uncompressed: several times that of 10,000
// upstreams with the versions of ten models.
const maxListBytes = 64 << 20

// compressors holds the writers of earlier lists, which have buffers of over a megabyte.
var compressors = sync.Pool{
	New: func() any {
		// The level is valid, so there is no error.
		w, _ := flate.NewWriter(nil, flate.BestSpeed)
		return w
	},
}

// plainListReply is a ListReply without its methods.
type plainListReply ListReply

// GobEncode implements gob.GobEncoder. Lists are compressed: one of 10,000 upstreams is 5 MB, which
// takes longer than listTimeout on the smallest links, and a watcher sends it to all its followers
// when a fleet starts.
func (r ListReply) GobEncode() ([]byte, error) {
	var out bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&out)
	if err := gob.NewEncoder(w).Encode(plainListReply(r)); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// GobDecode implements gob.GobDecoder.
func (r *ListReply) GobDecode(data []byte) error {
	in := flate.NewReader(bytes.NewReader(data))
	defer in.Close()
	var plain plainListReply
	if err := gob.NewDecoder(io.LimitReader(in, maxListBytes)).Decode(&plain); err != nil {
		return err
	}
	*r = ListReply(plain)
	return nil
}

// Package snapshot lets VMs copy tables of the store from each other. A VM that starts, or that
// misses a large row, need not read it from the store if another VM of its data centre has it.
//
// Load pattern: a thousand VMs start at once, and each needs the list of ten thousand targets. The
// store would have to send gigabytes. Instead a few VMs read the list, and the others copy it from
// them in compact form. A VM transfers few copies at a time. While it is busy it names VMs that have
// received a copy from it, so that the number of VMs that can serve others grows with each round.
package snapshot

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
)

// Snapshot is a copy of a table.
type Snapshot struct {
	// Revision is the revision of the store as of which the copy holds all rows, and Newest the
	// highest version of a row that the VM with the copy has applied.
	Revision uint64
	Newest   uint64
	// Data holds the rows in the encoding of the table's Provider, compressed by Compress.
	Data []byte
}

// Provider provides the copies of one table.
type Provider interface {
	// Snapshot returns this VM's copy of the table, or false if it has none.
	Snapshot() (Snapshot, bool)
}

// Errors of Client.Fetch.
var (
	// ErrNone says that no VM has a copy that is new enough.
	ErrNone = errors.New("snapshot: no VM has a copy that is new enough")
	// ErrBusy says that all VMs that have a copy are busy.
	ErrBusy = errors.New("snapshot: all VMs that have a copy are busy")
)

// maxDataSize limits the size of an uncompressed snapshot.
const maxDataSize = 64 << 20

// Compress compresses the data of a snapshot.
func Compress(data []byte) []byte {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err == nil {
		_, err = w.Write(data)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		// The level is valid, and writes to a buffer do not fail.
		panic("snapshot: compress: " + err.Error())
	}
	return buf.Bytes()
}

// Decompress reverses Compress. It fails if the result is larger than maxDataSize.
func Decompress(data []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxDataSize+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress snapshot")
	}
	if len(out) > maxDataSize {
		return nil, errors.Errorf("snapshot larger than %d bytes", maxDataSize)
	}
	return out, nil
}

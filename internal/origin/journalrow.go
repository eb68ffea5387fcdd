package origin

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// journalRow is a row of the journal, encoded as CBOR.
type journalRow struct {
	_ struct{} `cbor:",toarray"`
	// Origins holds the origins that the entries refer to.
	Origins []rowOrigin
	Entries []rowEntry
	// TTLMS is how long the row is needed after its last write, in ms.
	TTLMS uint32
}

// rowOrigin is the encoded form of Origin.
type rowOrigin struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Version string
}

// rowEntry states the origin of a stream, as an index into Origins.
type rowEntry struct {
	_      struct{} `cbor:",toarray"`
	Key    []byte
	Origin int
}

// count returns the number of entries.
func (r journalRow) count() int { return len(r.Entries) }

// ttl returns how long the row is needed after its last write.
func (r journalRow) ttl() time.Duration { return time.Duration(r.TTLMS) * time.Millisecond }

// with returns the row with further records, without those that have expired.
func (r journalRow) with(records []expiringRecord, now time.Time) journalRow {
	out := journalRow{Origins: slices.Clone(r.Origins), Entries: slices.Clone(r.Entries), TTLMS: r.TTLMS}
	for _, rec := range records {
		left := rec.expiresAt.Sub(now)
		if left <= 0 {
			continue
		}
		o := rowOrigin{Service: rec.Service, Version: rec.Version}
		i := slices.Index(out.Origins, o)
		if i < 0 {
			i = len(out.Origins)
			out.Origins = append(out.Origins, o)
		}
		out.Entries = append(out.Entries, rowEntry{Key: slices.Clone(rec.Key[:]), Origin: i})
		out.TTLMS = max(out.TTLMS, uint32(left.Milliseconds()))
	}
	return out
}

// addTo adds the entries to a map. Contradictory entries of a stream make its origin unknown, which is the empty one.
func (r journalRow) addTo(origins map[Key]Origin) {
	for _, e := range r.Entries {
		if len(e.Key) != KeySize || e.Origin < 0 || e.Origin >= len(r.Origins) {
			continue
		}
		k, at := Key(e.Key), Origin{Service: r.Origins[e.Origin].Service, Version: r.Origins[e.Origin].Version}
		if known, ok := origins[k]; ok && known != at {
			at = Origin{}
		}
		origins[k] = at
	}
}

// encode returns the row as CBOR.
func (r journalRow) encode() []byte {
	data, err := cbor.Marshal(r)
	if err != nil {
		// Strings, bytes and numbers always encode.
		panic("origin: encode row: " + err.Error())
	}
	return data
}

// decodeJournalRow decodes a row.
func decodeJournalRow(data []byte) (journalRow, error) {
	var r journalRow
	return r, errors.Wrap(cbor.Unmarshal(data, &r), "decode streams")
}

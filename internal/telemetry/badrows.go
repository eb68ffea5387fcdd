package telemetry

import (
	"context"
	"sync"

	"go.opentelemetry.io/otel/metric"
)

// maxBadRows limits the rows of the store that are remembered as logged.
const maxBadRows = 4096

// badRows remembers rows of the store that cannot be used, because readers read them again and again.
type badRows struct {
	mu sync.Mutex
	// logged holds the version of each row that was logged, by key.
	logged map[string]uint64
	count  int64
}

// note returns whether a version of a row has not been noted before, and counts it then.
func (b *badRows) note(key string, version uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if known, ok := b.logged[key]; ok && known == version {
		return false
	}
	if b.logged == nil || len(b.logged) >= maxBadRows {
		b.logged = make(map[string]uint64)
	}
	b.logged[key] = version
	b.count++
	return true
}

// BadRow logs and counts a row of the store that cannot be used, once for each version of the row.
func (l *Logger) BadRow(key string, version uint64, cause error, fields ...Field) {
	if l.badRows.note(key, version) {
		l.Warn(EventBadRow, append([]Field{F("key", key), F("revision", version), F("cause", cause)}, fields...)...)
	}
}

// badRowCount returns how many versions of rows BadRow has counted.
func (l *Logger) badRowCount() int64 {
	l.badRows.mu.Lock()
	defer l.badRows.mu.Unlock()
	return l.badRows.count
}

// CountBadRows registers the counter of the rows that BadRow has counted.
func (l *Logger) CountBadRows(m metric.Meter) error {
	_, err := m.Int64ObservableCounter("garnet_bad_rows_total", metric.WithDescription("Versions of rows of the store that could not be used."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(l.badRowCount())
			return nil
		}))
	return err
}

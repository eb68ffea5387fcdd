package quarantine_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/quarantine"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// startKeeper starts a keeper on a store, with its clock fixed at now.
func startKeeper(t *testing.T, s store.Table, now time.Time) *quarantine.Keeper {
	t.Helper()
	k := quarantine.NewKeeper(s, telemetry.Discard(), func() time.Time { return now })
	if err := k.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := k.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
	return k
}

// eventually fails the test with the text of condition unless ok returns true within 5 s.
func eventually(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal(condition)
}

// countRecords returns the number of records of quarantined requests in the store.
func countRecords(t *testing.T, s store.Table) int {
	t.Helper()
	rows, err := s.List(context.Background(), quarantine.KeyPrefix)
	if err != nil {
		t.Fatal(err)
	}
	return len(rows)
}

// A quarantine is stored when it starts, loaded by the next process, and deleted from the store
// after a successful run.
func TestQuarantineIsStored(t *testing.T) {
	is := is.New(t)
	s := store.NewMemory()
	now := time.Now()
	k := startKeeper(t, s, now)
	r := newRequest("a", 1)
	for i := range 3 {
		at := now.Add(time.Duration(i-3) * time.Second)
		k.RecordCrash(&r, quarantine.Crash{Run: fmt.Sprint("run", i), Began: at.Add(-time.Millisecond), At: at})
		if i < 2 {
			is.Equal(countRecords(t, s), 0)
		}
	}
	eventually(t, "the quarantine is stored", func() bool { return countRecords(t, s) == 1 })

	next := startKeeper(t, s, now)
	eventually(t, "the next process loads the quarantine",
		func() bool { return next.Verdict(&r, now).Quarantined(now, true) })
	is.Equal(next.Verdict(&r, now).Crashes, 3)
	next.RecordSuccess(&r, "v1")
	eventually(t, "the record is deleted", func() bool { return countRecords(t, s) == 0 })
}

// A write of a record that is executed late must not quarantine a request again whose record was deleted
// since, nor delete a record that was written since.
func TestLateWriteQuarantinesAClearedRequest(t *testing.T) {
	is := is.New(t)
	s := store.NewMemory()
	now := time.Now()
	k := startKeeper(t, s, now)
	crash := func(r quarantine.Request, from string) {
		for i := range 3 {
			at := now.Add(time.Duration(i-3) * time.Second)
			k.RecordCrash(&r, quarantine.Crash{Run: fmt.Sprint(from, i), Began: at.Add(-time.Millisecond), At: at})
		}
	}
	cleared, again := newRequest("a", 1), newRequest("b", 2)
	crash(again, "x")
	eventually(t, "the second request is stored", func() bool { return countRecords(t, s) == 1 })

	s.SetFault(store.FaultLateWrites)
	crash(cleared, "y")
	eventually(t, "the write has got no answer", func() bool { _, n := s.Counts(); return n == 2 })
	s.SetFault(store.FaultNone)
	eventually(t, "the first request is stored", func() bool { return countRecords(t, s) == 2 })
	k.RecordSuccess(&cleared, "v1")
	eventually(t, "its record is deleted", func() bool { return countRecords(t, s) == 1 })
	is.Equal(s.RunLate(), 0)
	is.Equal(countRecords(t, s), 1)

	s.SetFault(store.FaultLateWrites)
	_, writes := s.Counts()
	k.RecordSuccess(&again, "v1")
	eventually(t, "the deletion has got no answer", func() bool { _, n := s.Counts(); return n == writes+1 })
	crash(again, "z")
	s.SetFault(store.FaultNone)
	eventually(t, "the record is written again", func() bool { _, n := s.Counts(); return n >= writes+2 })
	s.RunLate()
	is.Equal(countRecords(t, s), 1)
}

// Malformed records are skipped, and expired ones are deleted. Neither keeps a VM from starting.
func TestInvalidAndExpiredRecordsAreSkipped(t *testing.T) {
	is := is.New(t)
	s := store.NewMemory()
	old := quarantine.KeyPrefix + "00000000000000010102030405060708090a0b0c0d0e0f10"
	for key, value := range map[string]string{
		quarantine.KeyPrefix:           "{}",
		quarantine.KeyPrefix + "short": "{}",
		quarantine.KeyPrefix + "zzzzzzzzzzzzzzzz0102030405060708090a0b0c0d0e0f10": "{}",
		quarantine.KeyPrefix + "00000000000000020102030405060708090a0b0c0d0e0f10": "[",
		quarantine.KeyPrefix + "00000000000000030102030405060708090a0b0c0d0e0f10": `{"ends":[]}`,
		old: `{"source":"1","ends":[{"target":"1","unix_ms":1000,"ran_ms":-5}]}`,
	} {
		_, err := s.Commit(context.Background(), store.Txn{Puts: []store.Put{{Key: key,
			Value: []byte(value)}}})
		is.NoErr(err)
	}
	now := time.Now()
	k := startKeeper(t, s, now)
	eventually(t, "the expired record is deleted", func() bool { return countRecords(t, s) == 5 })
	is.Equal(k.Size(), 0)
}

// Guards against sound requests being refused for a part of their prompts that two requests which crash
// targets again and again share with them.
func TestRepeatedRequestsDoNotAccuseTheirParts(t *testing.T) {
	is := is.New(t)
	k := quarantine.NewKeeper(store.NewMemory(), telemetry.Discard(), func() time.Time { return start })
	for n := range 6 {
		r := newRequest("a", n%2)
		r.Service, r.Parts = "m", []string{"first"}
		at := start.Add(time.Duration(n) * time.Second)
		k.RecordCrash(&r, quarantine.Crash{Run: fmt.Sprint("run", n), Version: "v1", Began: at.Add(-time.Millisecond), At: at})
	}
	sound := newRequest("a", 9)
	sound.Service, sound.Parts = "m", []string{"first"}
	is.True(!k.PartVerdict(&sound, start.Add(6*time.Second)).Held())
}

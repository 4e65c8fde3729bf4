package wal_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/wal"
	"ibistray.example/ibistray/internal/wal/waltest"
)

// TestPanicOfTheWriterFailsTheLog guards against a process that ends since the result of an append
// cannot be handled. All other appends must get a result.
func TestPanicOfTheWriterFailsTheLog(t *testing.T) {
	failures := make(chan error, 2)
	log, _, err := wal.Open(wal.Options{FS: waltest.New(), Dir: dataDir, OnFailure: func(err error) { failures <- err }})
	assert.NilError(t, err)
	log.AppendAsync([]wal.Update{entries(1, 1, 1, 1)}, func(error) { panic("boom") })
	assert.ErrorIs(t, <-failures, wal.ErrFailed)
	assert.ErrorIs(t, log.Append([]wal.Update{entries(1, 1, 2, 2)}), wal.ErrFailed)
	assert.NilError(t, log.Close())
}

// TestPanicWhileALogIsOpenedIsAnError guards against a process that ends while it reads its log. The data
// directory must not stay locked.
func TestPanicWhileALogIsOpenedIsAnError(t *testing.T) {
	fs := waltest.New()
	_, _, err := wal.Open(wal.Options{FS: fs, Dir: dataDir, BeforeWrite: func(map[uint64]*wal.GroupState) error { panic("boom") }})
	assert.ErrorContains(t, err, "boom")
	log, _ := openLog(t, fs)
	closeLog(t, log)
}

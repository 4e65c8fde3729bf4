package wal_test

import (
	"errors"
	"testing"

	"ibistray.example/ibistray/internal/wal"
	"ibistray.example/ibistray/internal/wal/waltest"
)

// FuzzOpen opens a log whose last segment has arbitrary content. Open must recover the
// log or return ErrCorrupt, and a recovered log must take appends and open again.
func FuzzOpen(f *testing.F) {
	seed := waltest.New()
	log, _, err := wal.Open(wal.Options{FS: seed, Dir: dataDir})
	if err != nil {
		f.Fatal(err)
	}
	if err := log.Append([]wal.Update{entries(1, 1, 1, 3)}); err != nil {
		f.Fatal(err)
	}
	if err := log.Close(); err != nil {
		f.Fatal(err)
	}
	name := seed.Files(".wal")[0]
	seed.ModifyFile(name, func(data []byte) []byte {
		f.Add(data)
		f.Add(data[:len(data)-9])
		return data
	})
	f.Fuzz(func(t *testing.T, content []byte) {
		fs := seed.Crash(waltest.LoseUnsynced)
		fs.ModifyFile(name, func([]byte) []byte { return content })
		log, _, err := wal.Open(wal.Options{FS: fs, Dir: dataDir})
		if err != nil {
			if !errors.Is(err, wal.ErrCorrupt) {
				t.Fatal(err)
			}
			return
		}
		appendAll(t, log, wal.Update{Group: 1 << 40, HardState: entries(1, 1, 1, 1).HardState})
		closeLog(t, log)
		log, _ = openLog(t, fs)
		closeLog(t, log)
	})
}

package spill

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func open(t *testing.T, limit int64) *Store {
	t.Helper()
	s := New(filepath.Join(t.TempDir(), "spill"), limit)
	t.Cleanup(s.Close)
	return s
}

func put(t *testing.T, s *Store, parts ...string) *Body {
	t.Helper()
	var data [][]byte
	for _, part := range parts {
		data = append(data, []byte(part))
	}
	b, err := s.Put(data...)
	assert.NilError(t, err)
	return b
}

// collect runs the garbage collector until a condition on the store holds.
func collect(t *testing.T, s *Store, done func(Stats) bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !done(s.Stats()); runtime.GC() {
		assert.Assert(t, time.Now().Before(end), "%+v", s.Stats())
	}
}

func files(t *testing.T, s *Store) []string {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(s.dir, "*"))
	assert.NilError(t, err)
	return names
}

func TestBodiesAreRead(t *testing.T) {
	s := open(t, 1<<20)
	bodies := make(map[string]*Body)
	for n := range 200 {
		content := string(bytes.Repeat([]byte{byte(n)}, n*30))
		bodies[content] = put(t, s, content[:n], content[n:])
	}
	for content, b := range bodies {
		got, err := b.Read()
		assert.NilError(t, err)
		assert.Equal(t, string(got), content)
		assert.Equal(t, b.Len(), len(content))
	}
	assert.Equal(t, s.Stats().Bodies, 200)
	runtime.KeepAlive(bodies)
}

// TestUnreferencedBodiesLeaveTheDisk guards against files that stay for bodies which nothing
// refers to, and against removed files of bodies that are in use.
func TestUnreferencedBodiesLeaveTheDisk(t *testing.T) {
	s := open(t, 1<<20)
	kept := put(t, s, "kept")
	for range 100 {
		put(t, s, string(make([]byte, 10<<10)))
	}
	collect(t, s, func(stats Stats) bool { return stats.Bodies == 1 })
	got, err := kept.Read()
	assert.NilError(t, err)
	assert.Equal(t, string(got), "kept")
	assert.Assert(t, len(files(t, s)) <= 2, "%q", files(t, s))
}

// TestOneBodyInEachSegmentDoesNotKeepThem guards against long-lived bodies that keep whole
// segments on the disk.
func TestOneBodyInEachSegmentDoesNotKeepThem(t *testing.T) {
	const limit = 1 << 20
	s := open(t, limit)
	kept := make(map[string]*Body)
	for n := 0; n < 400; n++ {
		content := fmt.Sprint("kept ", n)
		if n%25 == 0 {
			kept[content] = put(t, s, content)
		}
		for {
			_, err := s.Put(make([]byte, 10<<10))
			if err == nil {
				break
			}
			assert.ErrorIs(t, err, ErrFull)
			runtime.GC()
			time.Sleep(10 * time.Millisecond)
		}
	}
	for content, b := range kept {
		got, err := b.Read()
		assert.NilError(t, err)
		assert.Equal(t, string(got), content)
	}
	collect(t, s, func(stats Stats) bool { return stats.Bodies == len(kept) })
	runtime.KeepAlive(kept)
}

// TestBodiesAreReadWhileOthersMove reads and writes bodies from several goroutines while compaction
// moves them.
func TestBodiesAreReadWhileOthersMove(t *testing.T) {
	s := open(t, 1<<20)
	end := time.Now().Add(time.Second)
	var workers sync.WaitGroup
	for w := range 4 {
		workers.Go(func() {
			random := rand.New(rand.NewPCG(uint64(w), 0))
			var kept []*Body
			for time.Now().Before(end) {
				content := bytes.Repeat([]byte{byte(random.Uint32())}, random.IntN(20<<10))
				if b, err := s.Put(content); err == nil {
					kept = append(kept, b)
				}
				if len(kept) > 20 {
					i := random.IntN(len(kept))
					kept = append(kept[:i], kept[i+1:]...)
				}
				for _, b := range kept {
					got, err := b.Read()
					assert.Check(t, err)
					assert.Check(t, len(got) == b.Len())
				}
				s.mu.Lock()
				s.nextCompaction = time.Time{}
				s.mu.Unlock()
				s.startCompaction()
				if random.IntN(50) == 0 {
					runtime.GC()
				}
			}
		})
	}
	workers.Wait()
}

func TestDamagedBodiesAreNotReturned(t *testing.T) {
	for name, damage := range map[string]func(path string) error{
		"changed": func(path string) error { return os.WriteFile(path, []byte("bOdy"), fileMode) },
		"cut off": func(path string) error { return os.Truncate(path, 3) },
	} {
		t.Run(name, func(t *testing.T) {
			s := open(t, 1<<20)
			b := put(t, s, "body")
			assert.NilError(t, damage(files(t, s)[0]))
			_, err := b.Read()
			assert.ErrorIs(t, err, ErrUnreadable)
		})
	}
}

// TestReserveIsTakenOnlyByPutBeyond covers bodies beyond the limit and beyond the reserve.
func TestReserveIsTakenOnlyByPutBeyond(t *testing.T) {
	s := NewWithReserve(t.TempDir(), 10, 10)
	t.Cleanup(s.Close)
	first := put(t, s, "0123456789")
	_, err := s.Put([]byte("x"))
	assert.ErrorIs(t, err, ErrFull)
	beyond, err := s.PutBeyond([]byte("9876543210"))
	assert.NilError(t, err)
	_, err = s.PutBeyond([]byte("x"))
	assert.ErrorIs(t, err, ErrFull)
	assert.Equal(t, first.Len()+beyond.Len(), 20)
}

// TestFailedWritesAreCounted has the limit and the file system refuse bodies. A later segment takes
// bodies again.
func TestFailedWritesAreCounted(t *testing.T) {
	s := open(t, 100)
	b := put(t, s, "body")
	_, err := s.Put(make([]byte, 97))
	assert.ErrorIs(t, err, ErrFull)
	assert.NilError(t, s.active.file.Close())
	_, err = s.Put([]byte("x"))
	assert.ErrorIs(t, err, os.ErrClosed)
	_, err = s.Put([]byte("x"))
	assert.ErrorIs(t, err, ErrFull, "written again at once")
	assert.Equal(t, s.Stats().Failures, int64(3))
	assert.Equal(t, b.Len(), 4)
	s.retryAfter = time.Time{}
	got, err := put(t, s, "x").Read()
	assert.NilError(t, err)
	assert.Equal(t, string(got), "x")
	_, err = b.Read()
	assert.ErrorIs(t, err, ErrUnreadable)
}

func TestFilesOfEarlierStoreAreRemoved(t *testing.T) {
	s := open(t, 1<<20)
	assert.NilError(t, RemoveFiles(s.dir), "the directory does not exist yet")
	put(t, s, "body")
	assert.Equal(t, len(files(t, s)), 1)
	assert.NilError(t, RemoveFiles(s.dir))
	assert.Equal(t, len(files(t, s)), 0)
}

func TestClosedStoreRefuses(t *testing.T) {
	s := open(t, 1<<20)
	b := put(t, s, "body")
	s.Close()
	_, err := b.Read()
	assert.ErrorIs(t, err, ErrClosed)
	_, err = s.Put([]byte("x"))
	assert.ErrorIs(t, err, ErrClosed)
	assert.Equal(t, len(files(t, s)), 0)
}

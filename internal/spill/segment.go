package spill

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
)

// segment is one file of bodies. Its fields besides the file are guarded by the mutex of the store.
type segment struct {
	path    string
	records []*record // of the bodies in it
	size    int64     // bytes written
	live    int64     // bytes of the bodies

	io   sync.Mutex // held during reads and writes, which share the position in the file
	file *os.File
}

func createSegment(path string) (*segment, error) {
	file, err := os.OpenFile(filepath.Clean(path), os.O_CREATE|os.O_TRUNC|os.O_RDWR|os.O_APPEND, fileMode)
	if err != nil {
		return nil, fmt.Errorf("spill: create segment: %w", err)
	}
	return &segment{path: path, file: file}, nil
}

// append writes the parts of a body at the end and returns its offset. After an error the segment
// takes no further bodies.
func (g *segment) append(parts [][]byte) (int64, error) {
	g.io.Lock()
	defer g.io.Unlock()
	offset, err := g.file.Seek(0, io.SeekEnd)
	if err != nil {
		return 0, fmt.Errorf("spill: write: %w", err)
	}
	for _, part := range parts {
		if _, err := g.file.Write(part); err != nil {
			_ = g.file.Truncate(offset) // frees what a full disk has taken
			return 0, fmt.Errorf("spill: write: %w", err)
		}
	}
	return offset, nil
}

func (g *segment) read(offset int64, length int) ([]byte, error) {
	content := make([]byte, length)
	g.io.Lock()
	defer g.io.Unlock()
	if _, err := g.file.Seek(offset, io.SeekStart); err != nil {
		return nil, err
	}
	_, err := io.ReadFull(g.file, content)
	return content, err
}

// remove closes and removes the file. One that cannot be removed stays until RemoveFiles.
func (g *segment) remove() {
	g.io.Lock()
	defer g.io.Unlock()
	_ = g.file.Close()
	_ = os.Remove(g.path)
}

// Package routesync brings routes documents from state hosts to entries. A small document is
// a part of the update that announces it. A large one is announced by its version, and each
// entry fetches it once, compressed, from one of the hosts that announce it.
package routesync

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"ibistray.example/ibistray/internal/transport"
)

// MaxPushedBytes is the size up to which a document is a part of the update that announces
// it. An entry watches several hosts, and each of them sends the update.
const MaxPushedBytes = 16 << 10

// ErrMalformed reports data that Pack has not returned.
var ErrMalformed = errors.New("routesync: malformed document")

// Pack compresses a document.
func Pack(document []byte) ([]byte, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("routesync: compress: %w", err)
	}
	if _, err := w.Write(document); err != nil {
		return nil, fmt.Errorf("routesync: compress: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("routesync: compress: %w", err)
	}
	return packed.Bytes(), nil
}

// Unpack returns the document that was compressed. Error: ErrMalformed, also for documents
// of more than transport.MaxMessageBytes.
func Unpack(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	document, err := io.ReadAll(io.LimitReader(r, transport.MaxMessageBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if len(document) > transport.MaxMessageBytes {
		return nil, fmt.Errorf("%w: more than %d bytes", ErrMalformed, transport.MaxMessageBytes)
	}
	return document, nil
}

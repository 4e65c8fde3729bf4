package backend

import (
	"fmt"

	"github.com/cloudwego/hertz/pkg/protocol"

	"ibistray.example/ibistray/internal/responselimit"
)

// maxBodyBytes limits a response body that is read as a whole and the part of a stream that one
// connection carries, and maxExportBytes the prefix of one program in an engine's own format.
const (
	maxBodyBytes   = 4 << 20
	maxExportBytes = 256 << 20
)

var errEventTooLarge = fmt.Errorf("%w: line of an event of more than %d bytes", ErrTooLarge, maxEventBytes)

// readBody reads the body of a response, at most limit bytes. The connection of a larger
// one is closed. Errors: ErrConnectionLost.
func readBody(resp *protocol.Response, limit int64) ([]byte, error) {
	data, err := responselimit.ReadBody(resp, limit)
	if err != nil {
		return nil, wrapTransportError(err)
	}
	return data, nil
}

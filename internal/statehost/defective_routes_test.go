package statehost

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/routing"
	"ibistray.example/ibistray/proto/fleetpb"
)

// defectMark ends documents with a defect, see decodeVersion.
const defectMark = " defective"

// defectiveRoutesInForce uploads documents with a defect. They must be refused, except for the
// one that an earlier build has put in force.
func defectiveRoutesInForce(t *testing.T, c *cluster) {
	host := c.nodes["a"].host
	first, second := []byte("7"+defectMark), []byte("8"+defectMark)
	c.eventually("a refusal before the first routes", func() error {
		err := host.ApplyRoutes(t.Context(), first)
		assert.Assert(t, err != nil)
		return refused(err)
	})
	command := &fleetpb.ConfigCommand{Kind: &fleetpb.ConfigCommand_PutRoutes{PutRoutes: &fleetpb.Routes{Version: 7, Document: first}}}
	c.eventually("routes of an earlier build", func() error {
		_, err := host.callConfig(t.Context(), command)
		return err
	})
	c.eventually("the acknowledgement of the same routes", func() error { return host.ApplyRoutes(t.Context(), first) })
	c.eventually("the refusal of other routes", func() error {
		err := host.ApplyRoutes(t.Context(), second)
		assert.Assert(t, err != nil)
		return refused(err)
	})
	c.applyRoutes(8)
	c.eventually("the refusal of routes that are not in force", func() error {
		err := host.ApplyRoutes(t.Context(), first)
		assert.Assert(t, err != nil)
		return refused(err)
	})
}

// refused returns an error unless err wraps routing.ErrInvalid.
func refused(err error) error {
	if errors.Is(err, routing.ErrInvalid) {
		return nil
	}
	return err
}

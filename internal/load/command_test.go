package load

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

func TestCommandPrintsJSON(t *testing.T) {
	f := startFakeSystem(t)
	var out bytes.Buffer
	args := []string{"load", "--base", f.url, "--customer", "ik_a_s=diagnosis", "--model", "quote=m", "--rate", "100", "--duration", "50ms", "--json"}
	assert.NilError(t, Command(&out).Run(context.Background(), args))
	var report Report
	assert.NilError(t, json.Unmarshal(out.Bytes(), &report))
	assert.Assert(t, report.Kinds[KindDiagnosis].Programs > 0)
}

func TestParseCustomer(t *testing.T) {
	customer, err := parseCustomer("ik_a_s=quote+shipping")
	assert.NilError(t, err)
	assert.DeepEqual(t, customer, Customer{Key: "ik_a_s", Kinds: []Kind{KindQuote, KindShipping}})
	_, err = parseCustomer("ik_a_s=nonsense")
	assert.ErrorContains(t, err, "unknown kind")
}

package statehost

import (
	"archive/tar"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"ibistray.example/ibistray/internal/ledger"
	"ibistray.example/ibistray/internal/transport"
	"ibistray.example/ibistray/proto/ledgerpb"
)

// TestDiskOfEarlierBuildIsRead starts a state host on the disk of one of an earlier build: log,
// snapshots of both groups, identity and servers. Its program had six turns with 42 tokens, an
// open turn with 10 and a budget of 100.
func TestDiskOfEarlierBuildIsRead(t *testing.T) {
	archives, err := filepath.Glob("testdata/state-*.tar.gz")
	assert.NilError(t, err)
	assert.Assert(t, len(archives) > 0)
	for _, archive := range archives {
		t.Run(filepath.Base(archive), func(t *testing.T) { requireStateOf(t, archive) })
	}
}

func requireStateOf(t *testing.T, archive string) {
	dir := t.TempDir()
	extract(t, archive, dir)
	h := startHostOn(t, dir)
	defer stopHost(t, h)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	run := func(cmd *ledgerpb.Command) ledger.Result {
		t.Helper()
		cmd.NowMs = 1_800_000_000_000
		data, err := proto.Marshal(cmd)
		assert.NilError(t, err)
		for {
			applied, err := h.replicas.Propose(ctx, LedgerGroup, data)
			if err == nil {
				return applied.Result.(ledger.Result)
			}
			assert.NilError(t, ctx.Err(), err)
			time.Sleep(20 * time.Millisecond)
		}
	}
	next := func(call string, maxTokens uint64) ledger.Result {
		return run(&ledgerpb.Command{Kind: &ledgerpb.Command_Begin{Begin: &ledgerpb.Begin{
			CallId: call, Program: "p", Previous: "turn-5", MaxTokens: maxTokens, TokenBudget: 100, Limited: true, Account: "acct",
		}}})
	}
	assert.Equal(t, next("over the budget", 49).Outcome, ledgerpb.Outcome_OUTCOME_BUDGET_SPENT)
	begun := next("within the budget", 48)
	assert.Equal(t, begun.Outcome, ledgerpb.Outcome_OUTCOME_OK)
	assert.Equal(t, begun.PreviousServer(), "i-1")
	chain := begun.PreviousTurns()
	assert.Equal(t, len(chain), 6)
	for n, turn := range chain {
		assert.Equal(t, string(turn.Input)+string(turn.Output), fmt.Sprintf("in turn-%dout turn-%d", n, n))
	}
	resumed := run(&ledgerpb.Command{Kind: &ledgerpb.Command_OpenStream{OpenStream: &ledgerpb.OpenStream{
		CallId: "again", Resumes: "feed", Resumed: true, Account: "acct", RetentionMs: 1000,
	}}})
	assert.Equal(t, resumed.StreamVersion(), "chat/v2")

	config, _ := h.config.read()
	assert.Equal(t, string(config.Routes.GetDocument()), "1000")
	assert.Equal(t, config.Retirements[0].GetAddress(), "z")
	server := h.servers.NewestByAddress(nil)[0]
	assert.Equal(t, server.ID+" "+server.Service+" "+server.Version, "i-1 chat v1")
}

// startHostOn starts the only state host of a cluster on a disk.
func startHostOn(t *testing.T, dir string) *Host {
	t.Helper()
	pool := transport.NewPool(transport.DialTCPTimeout(10 * time.Millisecond))
	t.Cleanup(pool.Close)
	h, err := New(Config{
		Name: "host-a", Address: "a", FailureDomain: "domain-a", DataDir: dir, Seeds: func() []string { return []string{"a"} },
		DecodeRoutes: decodeVersion, HeartbeatInterval: time.Second,
	}, hclog.NewNullLogger(), prometheus.NewRegistry(), pool, func(error) {})
	assert.NilError(t, err)
	h.Run()
	return h
}

// extract writes the files of an archive to a directory.
func extract(t *testing.T, archive, dir string) {
	t.Helper()
	file, err := os.Open(archive)
	assert.NilError(t, err)
	defer file.Close()
	unzipped, err := gzip.NewReader(file)
	assert.NilError(t, err)
	files := tar.NewReader(unzipped)
	for {
		header, err := files.Next()
		if errors.Is(err, io.EOF) {
			return
		}
		assert.NilError(t, err)
		path := filepath.Join(dir, filepath.Clean("/"+header.Name))
		if header.Typeflag == tar.TypeDir {
			assert.NilError(t, os.MkdirAll(path, 0o700))
			continue
		}
		data, err := io.ReadAll(files)
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(path, data, 0o600))
	}
}

package statehost

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/internal/fleet"
	"ibistray.example/ibistray/proto/fleetpb"
)

const (
	// serversFile holds the backend servers as last known. It is a hint: after a loss
	// of power of all state hosts requests can be placed before the next heartbeats.
	serversFile      = "servers"
	rememberInterval = time.Second
	// hintTime is how long a remembered server is used without a heartbeat.
	hintTime = 2500 * time.Millisecond
	fileMode = 0o600
)

// remember writes the backend servers to the disk when some have changed.
func (h *Host) remember(context.Context) {
	changed, revision := h.servers.ChangedSince(h.remembered, false)
	if len(changed) == 0 {
		return
	}
	now := time.Now()
	list := new(fleetpb.Update)
	for _, i := range h.servers.NewestByAddress() {
		list.Instances = append(list.Instances, fleet.ToProto(i, now))
	}
	if err := writeFile(filepath.Join(h.cfg.DataDir, serversFile), list); err != nil {
		h.log.Warn("backend servers not remembered", "error", err)
		return
	}
	h.remembered = revision
}

// writeFile replaces a file so that it is either the old or the new one after a
// loss of power.
func writeFile(path string, message proto.Message) error {
	data, err := proto.Marshal(message)
	if err != nil {
		return fmt.Errorf("statehost: encode %s: %w", path, err)
	}
	temporary := path + ".new"
	file, err := os.OpenFile(temporary, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return fmt.Errorf("statehost: %w", err)
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(temporary, path)
	}
	if err != nil {
		return fmt.Errorf("statehost: %w", err)
	}
	return nil
}

// recall reads the remembered backend servers. They count as silent after hintTime
// unless they are heard of. A file that cannot be read is not used.
func (h *Host) recall() {
	data, err := os.ReadFile(filepath.Join(h.cfg.DataDir, serversFile))
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	list := new(fleetpb.Update)
	if err == nil {
		err = proto.Unmarshal(data, list)
	}
	if err != nil {
		h.log.Warn("remembered backend servers not used", "error", err)
		return
	}
	now := time.Now()
	heard := now.Add(hintTime - silentBeats*h.cfg.HeartbeatInterval)
	for _, m := range list.Instances {
		i := fleet.FromProto(m, now)
		if i.Validate() != nil {
			continue
		}
		i.LastHeartbeat = heard
		i.Silent = false
		h.servers.Merge(i)
	}
	h.log.Info("backend servers remembered", "servers", len(list.Instances))
}

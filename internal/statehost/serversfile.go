package statehost

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"ibistray.example/ibistray/internal/fleet"
	"ibistray.example/ibistray/proto/fleetpb"
)

const (
	// serversFile stores the last known backend servers as a hint: after a power failure
	// of all state hosts, requests can be placed before the next heartbeats arrive.
	serversFile     = "servers"
	persistInterval = time.Second // between two checks whether serversFile must be written
	// restoredServerTimeout is how long a server from serversFile is used without a
	// heartbeat.
	restoredServerTimeout = 2500 * time.Millisecond
	fileMode              = 0o600
)

// persistServers writes the backend servers and the known state hosts to serversFile if any
// of them has changed.
func (h *Host) persistServers(context.Context) {
	changed, revision := h.servers.ChangedSince(h.persistedRevision, false)
	hosts := h.knownAddresses()
	if len(changed) == 0 && slices.Equal(hosts, h.persistedHosts) {
		return
	}
	now := time.Now()
	list := &fleetpb.Update{Control: hosts}
	for _, instance := range h.servers.NewestByAddress(nil) {
		list.Instances = append(list.Instances, fleet.ToProto(instance, now))
	}
	if err := writeFile(filepath.Join(h.cfg.DataDir, serversFile), list); err != nil {
		h.log.Warn("backend servers not saved", "error", err)
		return
	}
	h.persistedRevision, h.persistedHosts = revision, hosts
}

// writeFile replaces a file atomically: after a power failure it has either the old or
// the new content.
func writeFile(path string, message proto.Message) error {
	data, err := proto.Marshal(message)
	if err != nil {
		return fmt.Errorf("statehost: encode %s: %w", path, err)
	}
	tempPath := path + ".new"
	file, err := os.OpenFile(tempPath, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return fmt.Errorf("statehost: create %s: %w", tempPath, err)
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(tempPath, path)
	}
	if err != nil {
		return fmt.Errorf("statehost: write %s: %w", path, err)
	}
	return nil
}

// restoreServers reads the backend servers from serversFile. They count as silent after
// restoredServerTimeout unless a heartbeat arrives. A file that cannot be read is ignored.
func (h *Host) restoreServers() {
	data, err := os.ReadFile(filepath.Join(h.cfg.DataDir, serversFile))
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	list := new(fleetpb.Update)
	if err == nil {
		err = proto.Unmarshal(data, list)
	}
	if err != nil {
		h.log.Warn("saved backend servers not used", "error", err)
		return
	}
	now := time.Now()
	h.hosts.addAddresses(list.Control, now)
	lastHeartbeat := now.Add(restoredServerTimeout - maxMissedHeartbeats*h.cfg.HeartbeatInterval)
	for _, m := range list.Instances {
		instance := fleet.FromProto(m, now)
		if instance.Validate() != nil {
			continue
		}
		instance.LastHeartbeat = lastHeartbeat
		instance.Silent = false
		h.servers.Merge(instance)
	}
	h.log.Info("backend servers restored", "servers", len(list.Instances))
}

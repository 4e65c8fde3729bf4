package crowdtest

import (
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// sampleInterval is the interval at which a process is measured.
const sampleInterval = 100 * time.Millisecond

// Usage is the most that a process has held.
type Usage struct {
	Bytes       int // anonymous memory and what has arrived on its sockets and is not read yet
	Anonymous   int // part of Bytes at that moment
	Unread      int // part of Bytes at that moment
	Descriptors int
}

// String returns the usage in megabytes.
func (u Usage) String() string {
	const mb = 1 << 20
	return fmt.Sprintf("%d MB (%d in the process, %d unread), %d descriptors", u.Bytes/mb, u.Anonymous/mb, u.Unread/mb, u.Descriptors)
}

// runawayFactor is how far a process may exceed its limit before the crowd ends.
const runawayFactor = 2

// Watch measures a process until the returned function is called, which returns the most that it
// held. endCrowd is called, to protect the machine, when the process holds far more than limit bytes.
// addresses are those on which the process listens. The error says that the process could not be
// measured, for example since it has ended.
func Watch(pid, limit int, endCrowd func(), addresses ...string) (stop func() (Usage, error)) {
	var most Usage
	var failure error
	done := make(chan struct{})
	var sampler sync.WaitGroup
	sampler.Go(func() {
		ticks := time.NewTicker(sampleInterval)
		defer ticks.Stop()
		for failure == nil {
			var now Usage
			now, failure = measure(pid, addresses)
			if now.Bytes > most.Bytes {
				most.Bytes, most.Anonymous, most.Unread = now.Bytes, now.Anonymous, now.Unread
			}
			if now.Bytes > runawayFactor*limit {
				endCrowd()
			}
			most.Descriptors = max(most.Descriptors, now.Descriptors)
			select {
			case <-done:
				return
			case <-ticks.C:
			}
		}
	})
	return func() (Usage, error) {
		close(done)
		sampler.Wait()
		return most, failure
	}
}

func measure(pid int, addresses []string) (Usage, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return Usage{}, fmt.Errorf("crowdtest: %w", err)
	}
	anonymous, err := anonymousBytes(string(status))
	if err != nil {
		return Usage{}, err
	}
	unread, err := unreadBytes(addresses)
	if err != nil {
		return Usage{}, err
	}
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return Usage{}, fmt.Errorf("crowdtest: %w", err)
	}
	return Usage{Bytes: anonymous + unread, Anonymous: anonymous, Unread: unread, Descriptors: len(descriptors)}, nil
}

var errEnded = errors.New("crowdtest: the process has ended")

func anonymousBytes(status string) (int, error) {
	for line := range strings.Lines(status) {
		value, found := strings.CutPrefix(line, "RssAnon:")
		if !found {
			continue
		}
		kb, err := strconv.Atoi(strings.Fields(value)[0])
		if err != nil {
			return 0, fmt.Errorf("crowdtest: %w", err)
		}
		return kb << 10, nil
	}
	return 0, errEnded
}

// unreadBytes returns what has arrived on the connections of listeners and is not read.
func unreadBytes(addresses []string) (int, error) {
	const listening = "0A" // its queue counts connections
	local := make([]string, len(addresses))
	for i, address := range addresses {
		var err error
		if local[i], err = procAddress(address); err != nil {
			return 0, err
		}
	}
	sum := 0
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, fmt.Errorf("crowdtest: %w", err)
	}
	for line := range strings.Lines(string(table)) {
		columns := strings.Fields(line)
		if len(columns) < 5 || columns[3] == listening || !slices.Contains(local, columns[1]) {
			continue
		}
		_, queue, _ := strings.Cut(columns[4], ":")
		n, err := strconv.ParseInt(queue, 16, 64)
		if err != nil {
			return 0, fmt.Errorf("crowdtest: %w", err)
		}
		sum += int(n)
	}
	return sum, nil
}

// procAddress returns an IPv4 address and port as /proc/net/tcp shows them.
func procAddress(address string) (string, error) {
	tcp, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return "", fmt.Errorf("crowdtest: %w", err)
	}
	ip := tcp.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port), nil
}

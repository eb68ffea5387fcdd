package abuse

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// sampleInterval is the time between two samples of a process.
const sampleInterval = 10 * time.Millisecond

// usage holds what a process used at most, over all samples.
type usage struct {
	// memory is the resident memory plus the bytes in the kernel's buffers of the process's connections to
	// callers, in bytes. resident is the peak of the resident memory that the kernel keeps.
	memory, resident int64
	descriptors      int
}

// watch samples a VM's process until the returned function is called, which returns the result.
func (r *rig) watch() (stop func() usage) {
	var peak usage
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(sampleInterval)
		defer ticker.Stop()
		for {
			peak.memory = max(peak.memory, r.statusBytes("VmRSS")+r.bufferedBytes())
			peak.descriptors = max(peak.descriptors, r.openDescriptors())
			select {
			case <-done:
				return
			case <-ticker.C:
			}
		}
	}()
	var once sync.Once
	return func() usage {
		once.Do(func() {
			close(done)
			<-ended
			peak.resident = r.statusBytes("VmHWM")
		})
		return peak
	}
}

// statusBytes returns a field of the process's status in bytes, or 0 if the process has exited.
func (r *rig) statusBytes(field string) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.process.PID()))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			kb, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			if err != nil {
				return 0
			}
			return kb << 10
		}
	}
	return 0
}

// openDescriptors returns the number of file descriptors that the process has open.
func (r *rig) openDescriptors() int {
	entries, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(r.process.PID()), "fd"))
	if err != nil {
		return 0
	}
	return len(entries)
}

// bufferedBytes returns the number of bytes that callers' connections hold in the kernel on the VM's side,
// received and not read, or written and not received by the caller.
func (r *rig) bufferedBytes() int64 {
	_, port, err := net.SplitHostPort(string(r.vm.Listen))
	if err != nil {
		return 0
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return 0
	}
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	const listening = "0A"
	local := fmt.Sprintf(":%04X", number)
	var sum int64
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || !strings.HasSuffix(fields[1], local) || fields[3] == listening {
			continue
		}
		for queue := range strings.SplitSeq(fields[4], ":") {
			if n, err := strconv.ParseInt(queue, 16, 64); err == nil {
				sum += n
			}
		}
	}
	return sum
}

// check fails the test if the process has exited, or has used more memory than memoryMB or more file
// descriptors than the given number, if that is above 0.
func (r *rig) check(t *testing.T, peak usage, descriptors int) {
	t.Helper()
	t.Logf("at most %d MB resident, %d MB with the kernel's buffers, %d descriptors", peak.resident>>20, peak.memory>>20, peak.descriptors)
	if r.process.Exited() {
		t.Errorf("the process has exited:\n%s", tail(r.process.Log()))
	}
	if most := max(peak.memory, peak.resident); most > memoryMB<<20 {
		t.Errorf("%d MB of memory where %d are allowed", most>>20, memoryMB)
	}
	if descriptors > 0 && peak.descriptors > descriptors {
		t.Errorf("%d descriptors where %d are allowed", peak.descriptors, descriptors)
	}
}

// tail returns the last lines of a log.
func tail(log string) string {
	const most = 4000
	return log[max(len(log)-most, 0):]
}

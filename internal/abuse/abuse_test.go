package abuse

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/settings"
	"garnethoist.org/garnethoist/platform/platformtest"
)

// rounds is how often each caller of a crowd comes.
const rounds = 3

// playCrowd plays a crowd before a VM and checks that the process lives within its limits, that ordinary
// requests are answered while the crowd holds its connections and afterwards, and that the largest body is
// then served.
func playCrowd(t *testing.T, callers int, descriptors int64, kinds ...kind) {
	t.Helper()
	is := is.New(t)
	r := newRig(t, descriptors)
	stop := r.watch()
	all := crowd{address: string(r.vm.Listen), callers: callers, rounds: rounds, kinds: kinds}
	all.run(func(round int) {
		if err := r.ordinary(); err != nil {
			t.Errorf("ordinary request beside round %d: %v", round, err)
		}
		if err := r.askFor("/safe"+platformtest.PaddedPath, "x"); err != nil {
			t.Errorf("ordinary request with a large answer beside round %d: %v", round, err)
		}
	})
	r.check(t, stop(), int(descriptors))
	r.checkPromises(t, &all.answers)
	is.NoErr(r.ordinary())
	is.NoErr(r.ask(strings.Repeat("x", bodyLimit)))
}

// named returns the kind of a name.
func named(t *testing.T, name string) kind {
	t.Helper()
	for _, k := range kinds {
		if k.name == name {
			return k
		}
	}
	t.Fatalf("no kind %q", name)
	return kind{}
}

// playAlone plays a crowd of one kind.
func playAlone(t *testing.T, name string) {
	t.Helper()
	k := named(t, name)
	playCrowd(t, k.callers, 0, k)
}

// Bodies in large chunks that are never ended ended the process.
func TestLargeChunksExceedMemory(t *testing.T) { playAlone(t, "large_chunks_one_short_of_the_end") }

// Bodies of the largest size, sent whole by many callers at once, ended the process.
func TestWholeBodiesExceedMemory(t *testing.T) { playAlone(t, "whole_chunked_bodies") }

// Bodies in chunks of one byte ended the process.
func TestSmallChunksExceedMemory(t *testing.T) { playAlone(t, "chunks_of_one_byte_not_ended") }

// Bodies of a stated length that lack their last byte ended the process.
func TestStatedLengthsExceedMemory(t *testing.T) { playAlone(t, "stated_length_one_byte_short") }

// A stated length must not take memory before the bytes have come.
func TestStatedLengthsTakeNoMemory(t *testing.T) { playAlone(t, "stated_length_one_byte") }

// Bytes that callers send behind a request that is being served are held with it.
func TestPipelinedBytesExceedMemory(t *testing.T) { playAlone(t, "bytes_behind_whole_requests") }

// A head of many short lines takes a multiple of its bytes.
func TestHeadLinesExceedMemory(t *testing.T) { playAlone(t, "heads_with_many_lines_not_ended") }

// Chunk extensions without end must be refused.
func TestChunkExtensionsExceedMemory(t *testing.T) { playAlone(t, "chunk_extensions_and_trailers") }

// Answers that callers ask for and don't read take the memory of the process and of the kernel.
func TestUnreadAnswersExceedMemory(t *testing.T) { playAlone(t, unreadAnswers) }

// Callers of all kinds at once ended the process.
func TestMixedCrowdExceedsMemory(t *testing.T) { playCrowd(t, littleEach, 0, kinds...) }

// Callers that send one byte of a body, as many as the VM has file descriptors, left ordinary callers without
// a connection.
func TestCrowdTakesAllConnections(t *testing.T) {
	const descriptors = 600
	playCrowd(t, descriptors, descriptors, named(t, "stated_length_one_byte"))
}

// Connections to the VM's other servers, as many as it has file descriptors, left ordinary callers without one.
func TestOtherServersTakeAllConnections(t *testing.T) {
	const descriptors = 600
	is := is.New(t)
	r := newRig(t, descriptors)
	for _, address := range []settings.Addr{r.vm.ReadyListen, r.vm.MetricsListen} {
		stop := r.watch()
		others := crowd{address: string(address), callers: descriptors, rounds: 1, kinds: []kind{named(t, "stated_length_one_byte")}}
		others.run(func(int) {
			if err := r.ordinary(); err != nil {
				t.Errorf("ordinary request beside connections to %s: %v", address, err)
			}
		})
		r.check(t, stop(), descriptors)
	}
	is.NoErr(r.ordinary())
}

// A request that is refused before its body has come is answered although the body never comes.
func TestRefusalWaitsForTheBody(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 0)
	c, err := net.Dial("tcp", string(r.vm.Listen))
	is.NoErr(err)
	defer c.Close()
	is.NoErr(c.SetDeadline(time.Now().Add(patience)))
	_, err = io.WriteString(c, strings.Replace(head("q", "Content-Length: 100000\r\n"), "/safe/x", "/unknown", 1)+"x")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusNotFound)
}

package processes

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"arbutusdeck/entry/gateway"
	"arbutusdeck/platform"
	"arbutusdeck/platform/standin"
)

// Limits of the entry under misbehaving callers. They are below those of the smallest host, so that a small crowd
// reaches them.
const (
	crowdMemoryMB = 96
	// crowdDescriptors are the descriptors that the process may open, of which fileDescriptors are not for sockets.
	crowdDescriptors = 600
	fileDescriptors  = 200
	// hostDescriptors are the descriptors of the smallest host.
	hostDescriptors  = 4100
	crowdBodyBytes   = 4 << 20
	crowdHeaderBytes = 16384
	// crowdRouteTimeout is longer than these tests wait: nothing is given back only because a route's time has passed.
	crowdRouteTimeout = 2 * time.Minute
	// ordinaryBodyBytes is the size of an ordinary caller's prompt.
	ordinaryBodyBytes = 200 << 10
	// returnPause is the time after which a caller whose connection was closed connects again.
	returnPause = 200 * time.Millisecond
	// crowdStay is the time for which a crowd is alone with the entry before an ordinary caller comes.
	crowdStay = time.Second
)

// target is an address and path that callers reach.
type target struct {
	address, path string
	// headers are the lines that identify the caller; empty for those of the forwarding entry.
	headers string
}

const forwardHeaders = "Authorization: Bearer key-1\r\n"

// behaviour is what one caller of a crowd does on its connection. It returns once it has sent all that it sends; the
// connection then stays open until the entry closes it.
type behaviour struct {
	name    string
	callers int
	send    func(connection net.Conn, to target, caller int)
}

// requestHead returns the request line and headers of a request, without the blank line after them.
func requestHead(method string, to target, caller int) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: press.example\r\n%sAttempt-Id: crowd-%d\r\n", method, to.path, cmp.Or(to.headers, forwardHeaders), caller)
}

func writeText(connection net.Conn, text string) error {
	_, err := io.WriteString(connection, text)
	return err
}

// shortFields returns header fields with distinct names of three characters and no value, size bytes in all.
func shortFields(size int) string {
	fields := &strings.Builder{}
	for i := 0; fields.Len()+6 <= size; i++ {
		fmt.Fprintf(fields, "%03s:\r\n", strconv.FormatInt(int64(i), 36))
	}
	return strings.ReplaceAll(fields.String(), " ", "0")
}

// bodyBytesOf returns the size of a caller's body: the largest legal one, or that halved up to five times.
func bodyBytesOf(caller int) int { return crowdBodyBytes >> (caller / 3 % 6) }

func writeRepeatedly(connection net.Conn, piece string, total int) {
	for sent := 0; sent < total; sent += len(piece) {
		if writeText(connection, piece) != nil {
			return
		}
	}
}

// largeResponses names the crowd whose requests only a forwarding entry has a route for.
const largeResponses = "large responses that are not read"

var misbehaviours = []behaviour{
	{"bodies in one piece that stop short of their end", 450, func(connection net.Conn, to target, caller int) {
		length := bodyBytesOf(caller)
		_ = writeText(connection, requestHead("POST", to, caller)+fmt.Sprintf("Content-Length: %d\r\n\r\n", length))
		_ = writeText(connection, strings.Repeat("x", length-1))
	}},
	{"bodies in small pieces that stop short of their end", 450, func(connection net.Conn, to target, caller int) {
		length := bodyBytesOf(caller)
		_ = writeText(connection, requestHead("POST", to, caller)+fmt.Sprintf("Content-Length: %d\r\n\r\n", length))
		writeRepeatedly(connection, strings.Repeat("x", 1<<10), length-(1<<10))
	}},
	{"bodies in chunks that stop short of their end", 450, func(connection net.Conn, to target, caller int) {
		_ = writeText(connection, requestHead("POST", to, caller)+"Transfer-Encoding: chunked\r\n\r\n")
		writeRepeatedly(connection, "400\r\n"+strings.Repeat("x", 1<<10)+"\r\n", bodyBytesOf(caller)-(1<<10))
	}},
	{"bodies far over the limit", 450, func(connection net.Conn, to target, caller int) {
		_ = writeText(connection, requestHead("POST", to, caller)+fmt.Sprintf("Content-Length: %d\r\n\r\n", 1<<30))
		writeRepeatedly(connection, strings.Repeat("x", 64<<10), 2*crowdBodyBytes)
	}},
	{"chunked bodies far over the limit", 450, func(connection net.Conn, to target, caller int) {
		_ = writeText(connection, requestHead("POST", to, caller)+"Transfer-Encoding: chunked\r\n\r\n")
		writeRepeatedly(connection, "10000\r\n"+strings.Repeat("x", 64<<10)+"\r\n", 2*crowdBodyBytes)
	}},
	{"very many short fields without the end of the headers", 450, func(connection net.Conn, to target, caller int) {
		head := requestHead("GET", to, caller)
		_ = writeText(connection, head+shortFields(crowdHeaderBytes-len(head)))
	}},
	{"very many short fields before a body that does not come", 450, func(connection net.Conn, to target, caller int) {
		head := requestHead("POST", to, caller) + "Content-Length: 100\r\n"
		_ = writeText(connection, head+shortFields(crowdHeaderBytes-len(head)-2)+"\r\n")
	}},
	{"very many short fields after a whole request", 450, func(connection net.Conn, to target, caller int) {
		_ = writeText(connection, requestHead("GET", to, caller)+"\r\n"+requestHead("GET", to, caller)+shortFields(crowdHeaderBytes/2))
	}},
	{"trailers of very many short fields", 450, func(connection net.Conn, to target, caller int) {
		_ = writeText(connection, requestHead("POST", to, caller)+"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"+shortFields(4000))
	}},
	{"requests sent ahead without reading the responses", 450, func(connection net.Conn, to target, caller int) {
		writeRepeatedly(connection, strings.Repeat(requestHead("GET", to, caller)+"\r\n", 100), 4<<20)
	}},
	{"connections without a byte", 500, func(net.Conn, target, int) {}},
	{"idle connections after a response", 500, func(connection net.Conn, to target, caller int) {
		_ = writeText(connection, requestHead("GET", to, caller)+"\r\n")
	}},
	{"headers that come slowly", 500, func(connection net.Conn, to target, caller int) {
		for _, letter := range requestHead("GET", to, caller) {
			if writeText(connection, string(letter)) != nil {
				return
			}
			time.Sleep(returnPause)
		}
	}},
	{"bodies that come slowly", 450, func(connection net.Conn, to target, caller int) {
		_ = writeText(connection, requestHead("POST", to, caller)+"Content-Length: 100000\r\n\r\n")
		for writeText(connection, "x") == nil {
			time.Sleep(returnPause)
		}
	}},
	{"responses that are not read", 450, func(connection net.Conn, to target, caller int) {
		_ = writeText(connection, requestHead("GET", target{path: "/read/x"}, caller)+"\r\n")
	}},
	{largeResponses, 450, func(connection net.Conn, to target, caller int) {
		_ = writeText(connection, requestHead("GET", target{path: "/read/large"}, caller)+"\r\n")
	}},
	{"very long identifiers", 450, func(connection net.Conn, to target, caller int) {
		head := requestHead("GET", to, caller)
		head = strings.Replace(head, "crowd-", "crowd-"+strings.Repeat("<", crowdHeaderBytes-len(head)-2), 1)
		writeRepeatedly(connection, head+"\r\n", 10*crowdHeaderBytes)
	}},
	{"options for the whole server with a body that does not come", 450, func(connection net.Conn, _ target, caller int) {
		_ = writeText(connection, requestHead("OPTIONS", target{path: "*"}, caller)+"Content-Length: 100\r\n\r\n")
	}},
}

// Guards against clients that end or block the process, or take from ordinary callers, the ready address and the store
// what these need: a crowd holds its connections open and comes back whenever one is closed.
func TestMisbehavingCrowd(t *testing.T) {
	for _, b := range misbehaviours {
		t.Run(strings.ReplaceAll(b.name, " ", "_"), func(t *testing.T) { testCrowd(t, b, crowdDescriptors, false, callerTargets) })
	}
}

// Guards against clients that take the memory of a process whose descriptors they don't exhaust.
func TestMisbehavingCrowdWithinTheDescriptors(t *testing.T) {
	for _, b := range misbehaviours {
		t.Run(strings.ReplaceAll(b.name, " ", "_"), func(t *testing.T) { testCrowd(t, b, hostDescriptors, false, callerTargets) })
	}
}

// Guards against lines of the log that take the memory while nothing reads them.
func TestMisbehavingCrowdWhileTheLogStalls(t *testing.T) {
	for _, b := range misbehaviours {
		if b.name == "very long identifiers" {
			testCrowd(t, b, crowdDescriptors, true, callerTargets)
		}
	}
}

// callerTargets are those of the callers of a forwarding entry.
func callerTargets(entry gateway.Settings) []target {
	return []target{{address: entry.ListenAddress, path: "/read/x"}, {address: entry.ListenAddress, path: "/none/x"}, {address: entry.ReadyAddress, path: platform.ReadyPath}}
}

// writeLongResponses responds to the callers of a crowd with more than they read.
func writeLongResponses(out http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(standin.RunFromRequest(r).ID, "crowd") {
		return
	}
	length := 250 << 10
	if strings.HasSuffix(r.URL.Path, "/large") {
		length = 4 << 20
	}
	_, _ = io.WriteString(out, strings.Repeat("y", length))
}

// testCrowd checks that an entry that forwards stays within its limits and serves others while a crowd is there.
func testCrowd(t *testing.T, b behaviour, descriptors int, stalledLog bool, targets func(entry gateway.Settings) []target) {
	plain := standin.NewWorker("i-plain", "plain")
	t.Cleanup(plain.Close)
	plain.Script = writeLongResponses
	f := startForwardTestbed(t, forwardSpec{entries: 1, processors: 2, stopLimit: usualStopLimit, memoryMB: crowdMemoryMB,
		bodyBytes: crowdBodyBytes, routeTimeout: crowdRouteTimeout, descriptors: descriptors, stalledLog: stalledLog}, plain)
	usage := f.watchUsage(f.entries[0].Name, f.entries[0].ListenAddress)
	entry := f.entries[0]
	f.openCrowd(b, targets(entry))
	f.eventually("an ordinary request is answered", func() bool {
		return statusOf(standin.NewRequest(f.entries[0].ListenAddress, http.MethodPost, "/order/x", "ordinary", 0, strings.Repeat("z", ordinaryBodyBytes))) == http.StatusOK
	})
	f.eventually("the ready address answers", func() bool { return f.isReady(f.entries[0]) })
	f.store.Put("op/config", standin.ConfigurationWith(2, []string{"/added/"}, nil))
	f.eventually("a change in the store is in force", func() bool {
		return statusOf(standin.NewRequest(f.entries[0].ListenAddress, http.MethodGet, "/added/x", "ordinary", 0, "")) == http.StatusOK
	})
	f.requireWithinLimits(entry.Name, usage, crowdMemoryMB, descriptors)
}

// requireWithinLimits checks that a daemon lives and has stayed within its memory and a limit of its descriptors.
func (s *testbed) requireWithinLimits(name string, usage func() (memory int64, sockets int), memoryMB, descriptors int) {
	select {
	case <-s.daemons[name].exited:
		require.Fail(s.t, "the process has ended")
	default:
	}
	memory, sockets := usage()
	s.t.Logf("at the highest: %d MB, %d sockets", memory>>20, sockets)
	require.Less(s.t, memory, int64(memoryMB)<<20, "memory with what the kernel holds of connections")
	require.LessOrEqual(s.t, sockets, descriptors-fileDescriptors, "sockets")
}

// Guards against limits on callers that refuse what is legal: in calm an entry of the smallest host serves the largest
// requests of any form, and a crowd of all callers of a zone.
func TestLegalCallersMeetNoLimit(t *testing.T) {
	plain := standin.NewWorker("i-plain", "plain")
	t.Cleanup(plain.Close)
	f := startForwardTestbed(t, forwardSpec{entries: 1, processors: 2, stopLimit: usualStopLimit, memoryMB: 184, bodyBytes: crowdBodyBytes,
		descriptors: hostDescriptors}, plain)
	entry := f.entries[0].ListenAddress
	to := target{address: entry, path: "/order/x"}
	head := requestHead("POST", to, 0)
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBodyBytes)
	body := strings.Repeat("x", crowdBodyBytes)
	for name, request := range map[string]string{
		"short fields":   head + "Content-Length: 1\r\n" + shortFields(crowdHeaderBytes-len(head)-len("Content-Length: 1\r\n\r\n")) + "\r\nx",
		"one long field": head + "Content-Length: 1\r\nX-Long: " + strings.Repeat("x", crowdHeaderBytes-len(head)-len("Content-Length: 1\r\nX-Long: \r\n\r\n")) + "\r\n\r\nx",
		"a body":         head + length + body,
		"a body in chunks": head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("400\r\n"+strings.Repeat("x", 1<<10)+"\r\n", crowdBodyBytes>>10) +
			"0\r\n\r\n",
	} {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			connection := dialKept(t, entry)
			require.Equal(t, http.StatusOK, connection.call(request))
		})
	}
	const callers = 400
	var crowd []*keptConnection
	for range callers {
		crowd = append(crowd, dialKept(t, entry))
	}
	statuses := make(chan int, callers)
	for range 2 {
		for i, caller := range crowd {
			go func() { statuses <- caller.call(requestHead("POST", to, i) + "Content-Length: 1\r\n\r\nx") }()
		}
		for range crowd {
			require.Equal(t, http.StatusOK, <-statuses)
		}
	}
}

// keptConnection is a connection that is used for several requests.
type keptConnection struct {
	net.Conn
	in *bufio.Reader
}

func dialKept(t *testing.T, address string) *keptConnection {
	connection, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	return &keptConnection{connection, bufio.NewReader(connection)}
}

// call sends a request and returns the status of the response, 0 if there is none.
func (c *keptConnection) call(request string) int {
	_ = writeText(c, request) // if it fails there is no response
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// openCrowd lets the callers of a crowd connect, an equal part each at the targets, and returns once each has sent what
// it sends or was refused. They come back until the test ends.
func (s *testbed) openCrowd(b behaviour, targets []target) {
	stopped := make(chan struct{})
	var callers, begun sync.WaitGroup
	for i := range b.callers {
		begun.Add(1)
		sent := sync.OnceFunc(begun.Done)
		time.AfterFunc(waitTimeout/10, sent) // a caller that is not read can't send all
		callers.Go(func() {
			for {
				misbehaveOnce(b, targets[i%len(targets)], i, sent, stopped)
				sent()
				select {
				case <-stopped:
					return
				case <-time.After(returnPause):
				}
			}
		})
	}
	s.t.Cleanup(func() {
		close(stopped)
		callers.Wait()
	})
	begun.Wait()
	time.Sleep(crowdStay)
}

// misbehaveOnce holds one connection until the entry closes it or the test ends. It calls sent when all is sent.
func misbehaveOnce(b behaviour, to target, caller int, sent func(), stopped <-chan struct{}) {
	connection, err := net.DialTimeout("tcp", to.address, time.Second)
	if err != nil {
		return
	}
	defer connection.Close()
	_ = connection.(*net.TCPConn).SetReadBuffer(4096)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		b.send(connection, to, caller)
		sent()
		awaitClose(connection, stopped)
	}()
	select {
	case <-closed:
	case <-stopped:
		_ = connection.Close()
		<-closed
	}
}

// awaitClose returns once the other end has closed the connection. It reads nothing, but asks for the state of the
// connection.
func awaitClose(connection net.Conn, stopped <-chan struct{}) {
	for connectionOpen(connection) {
		select {
		case <-stopped:
			return
		case <-time.After(returnPause):
		}
	}
}

func connectionOpen(connection net.Conn) bool {
	raw, err := connection.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	const established = 1
	open := false
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		open = infoErr == nil && info.State == established
	})
	return err == nil && open
}

// usageSample is what a process holds at a moment.
type usageSample struct{ memory, sockets int64 }

// usageInterval is the time between two samples.
const usageInterval = 25 * time.Millisecond

// watchUsage samples the resident memory of a daemon together with the bytes that the kernel holds for the connections
// of its host, and its sockets. The returned function ends the sampling and returns the highest values.
func (s *testbed) watchUsage(name, address string) func() (memory int64, sockets int) {
	pid := s.daemons[name].cmd.Process.Pid
	host, _, err := net.SplitHostPort(address)
	require.NoError(s.t, err)
	var memory, sockets atomic.Int64
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			sample := sampleUsage(pid, host)
			memory.Store(max(memory.Load(), sample.memory))
			sockets.Store(max(sockets.Load(), sample.sockets))
			select {
			case <-stop:
				return
			case <-time.After(usageInterval):
			}
		}
	}()
	end := sync.OnceFunc(func() {
		close(stop)
		<-stopped
	})
	s.t.Cleanup(end)
	return func() (int64, int) {
		end()
		return max(memory.Load(), s.peakMemory(name)), int(sockets.Load())
	}
}

func sampleUsage(pid int, host string) usageSample {
	sample := usageSample{}
	if status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)); err == nil {
		kilobytes, _ := strconv.ParseInt(strings.TrimSuffix(field(status, "VmRSS"), " kB"), 10, 64)
		sample.memory = kilobytes << 10
	}
	sockets := map[string]bool{}
	folder := fmt.Sprintf("/proc/%d/fd", pid)
	entries, _ := os.ReadDir(folder)
	for _, entry := range entries {
		if link, err := os.Readlink(filepath.Join(folder, entry.Name())); err == nil && strings.HasPrefix(link, "socket:") {
			sample.sockets++
			sockets[strings.Trim(strings.TrimPrefix(link, "socket:"), "[]")] = true
		}
	}
	sample.memory += kernelBytes(host, sockets)
	return sample
}

// kernelBytes returns the bytes in the receive and send queues of the established connections whose own end is at host,
// and of those of the sockets with the given inodes.
func kernelBytes(host string, sockets map[string]bool) int64 {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer file.Close()
	ip := net.ParseIP(host).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:", ip[3], ip[2], ip[1], ip[0])
	total := int64(0)
	const localColumn, stateColumn, queuesColumn, inodeColumn, established = 1, 3, 4, 9, "01"
	for lines := bufio.NewScanner(file); lines.Scan(); {
		columns := strings.Fields(lines.Text())
		if len(columns) <= inodeColumn || columns[stateColumn] != established {
			continue
		}
		if !strings.HasPrefix(columns[localColumn], local) && !sockets[columns[inodeColumn]] {
			continue
		}
		for _, queue := range strings.Split(columns[queuesColumn], ":") {
			bytes, _ := strconv.ParseInt(queue, 16, 64)
			total += bytes
		}
	}
	return total
}

package processes

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutusdeck/entry/gateway"
	"arbutusdeck/standin/fleet"
)

// ownHeaders identify a caller of the product's own interface.
const ownHeaders = "Authorization: Bearer " + fleet.APIKey + "\r\nX-Request-Kind: " + fleet.Kind + "\r\n"

// The largest legal headers and body at the product's own interface, in bytes.
const (
	ownHeaderBytes = 32 << 10
	ownBodyBytes   = 16 << 20
)

// unreadCompletions stands for responses that are not read at the product's own interface.
var unreadCompletions = behaviour{"responses that are not read", 450, func(connection net.Conn, to target, caller int) {
	body := completionBody(prompt(10), 512, true)
	request := requestHead("POST", target{path: "/v1/completions", headers: ownHeaders}, caller) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	writeRepeatedly(connection, request, 20*len(request))
}}

// ownMisbehaviours are those at the product's own interface.
func ownMisbehaviours() []behaviour {
	var all []behaviour
	for _, b := range misbehaviours {
		switch b.name {
		case largeResponses:
			continue
		case unreadCompletions.name:
			b = unreadCompletions
		}
		all = append(all, b)
	}
	return all
}

// Guards against the same at the product's own interface: callers, with a key or without, that take the descriptors and
// the memory, and refused ones that stop sending or reading and stay forever.
func TestMisbehavingCrowdAtTheOwnInterface(t *testing.T) {
	for _, b := range ownMisbehaviours() {
		t.Run(strings.ReplaceAll(b.name, " ", "_"), func(t *testing.T) {
			testOwnCrowd(t, b, fleet.EntryName(0), func(s *testbed) []target {
				address := strings.TrimPrefix(s.fleet.CallerURL(0), "http://")
				return []target{{address: address, path: "/v1/completions"}, {address: address, path: "/none"}, {address: address, path: "/readyz"},
					{address: address, path: "/v1/completions", headers: ownHeaders}, {address: address, path: "/v1/services/orders/x", headers: ownHeaders}}
			})
		})
	}
}

// mixedCrowd behaves in all ways at once.
var mixedCrowd = behaviour{"all kinds", 450, func(connection net.Conn, to target, caller int) {
	misbehaviours[caller%len(misbehaviours)].send(connection, to, caller)
}}

// Guards against clients that take the memory and the descriptors of a daemon through the addresses that are not for
// callers.
func TestMisbehavingCrowdAtTheAddressesOfDaemons(t *testing.T) {
	t.Run("metrics_and_peers_of_a_forwarding_entry", func(t *testing.T) {
		testCrowd(t, mixedCrowd, crowdDescriptors, false, func(entry gateway.Settings) []target {
			return []target{peerTarget(entry), {address: entry.PeerAddress, path: "/none"}, {address: entry.MetricsAddress, path: "/metrics"}}
		})
	})
	for _, b := range misbehaviours {
		if strings.Contains(b.name, "bodies") {
			t.Run(strings.ReplaceAll(b.name, " ", "_")+"_at_the_peers_of_a_forwarding_entry", func(t *testing.T) {
				testCrowd(t, b, crowdDescriptors, false, func(entry gateway.Settings) []target { return []target{peerTarget(entry)} })
			})
		}
	}
	t.Run("administration_and_peers_of_an_entry", func(t *testing.T) {
		testOwnCrowd(t, mixedCrowd, fleet.EntryName(0), func(s *testbed) []target {
			return ownDaemonTargets(s, fleet.EntryName(0), s.fleet.Config.Entries[fleet.EntryName(0)].PeerAddress)
		})
	})
	t.Run("administration_and_peers_of_a_host", func(t *testing.T) {
		testOwnCrowd(t, mixedCrowd, fleet.ServerName(0), func(s *testbed) []target {
			return ownDaemonTargets(s, fleet.ServerName(0), s.fleet.Config.Servers[fleet.ServerName(0)].Address)
		})
	})
}

// peerTarget is the call that other entries make of a forwarding entry.
func peerTarget(entry gateway.Settings) target {
	return target{address: entry.PeerAddress, path: "/twirp/arbutus.wire.Peer/Snapshot", headers: "Content-Type: application/protobuf\r\n"}
}

// ownDaemonTargets are the addresses of a daemon that are not for callers.
func ownDaemonTargets(s *testbed, name, peerAddress string) []target {
	admin := strings.TrimPrefix(s.fleet.AdminURL(name), "http://")
	return []target{{address: peerAddress, path: "/twirp/arbutus.wire.HostDaemon/Offer"}, {address: peerAddress, path: "/attempts/x/stream"},
		{address: peerAddress, path: "/none"}, {address: admin, path: "/readyz"}, {address: admin, path: "/v1/status"}}
}

// Guards against limits on callers that refuse what is legal at the product's own interface: the largest headers and
// bodies, and a crowd with as many connections as an entry may hold for callers.
func TestLegalCallersMeetNoLimitAtTheOwnInterface(t *testing.T) {
	spec := fastSpec()
	spec.Servers, spec.Entries, spec.NewHost = 1, 1, nextForwardHost
	s := startTestbed(t, spec)
	name := fleet.EntryName(0)
	s.relaunch(name, limitDescriptors(s.daemons[name].command, hostDescriptors))
	address := strings.TrimPrefix(s.fleet.CallerURL(0), "http://")
	to := target{address: address, path: "/v1/services/orders/x", headers: ownHeaders}
	head := requestHead("POST", to, 0)
	for name, request := range map[string]string{
		"short fields": head + "Content-Length: 1\r\n" + shortFields(ownHeaderBytes-len(head)-len("Content-Length: 1\r\n\r\n")) + "\r\nx",
		"one long field": head + "Content-Length: 1\r\nX-Long: " + strings.Repeat("x", ownHeaderBytes-len(head)-len("Content-Length: 1\r\nX-Long: \r\n\r\n")) +
			"\r\n\r\nx",
		"a body":           head + fmt.Sprintf("Content-Length: %d\r\n\r\n", ownBodyBytes) + strings.Repeat("x", ownBodyBytes),
		"a body in chunks": head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("400\r\n"+strings.Repeat("x", 1<<10)+"\r\n", ownBodyBytes>>10) + "0\r\n\r\n",
	} {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			require.Equal(t, http.StatusOK, dialKept(t, address).call(request))
		})
	}
	const callers = 1000
	var crowd []*keptConnection
	for range callers {
		crowd = append(crowd, dialKept(t, address))
	}
	statuses := make(chan int, callers)
	models := requestHead("GET", target{path: "/v1/models", headers: ownHeaders}, 0) + "\r\n"
	for range 2 {
		for _, caller := range crowd {
			go func() { statuses <- caller.call(models) }()
		}
		for range crowd {
			require.Equal(t, http.StatusOK, <-statuses)
		}
	}
}

// testOwnCrowd checks that a daemon of a fleet with one host and one entry stays within its limits, and that an ordinary
// request is served, while a crowd is there.
func testOwnCrowd(t *testing.T, b behaviour, name string, targets func(s *testbed) []target) {
	s := startLimited(t, name)
	usage := s.watchDaemon(name)
	s.openCrowd(b, targets(s))
	s.requireServed(name, usage, crowdMemoryMB)
}

// startLimited starts a fleet of one host and one entry, one of which has the limits of these tests.
func startLimited(t *testing.T, name string) *testbed {
	return startLimitedWith(t, name, fastSpec(), crowdMemoryMB)
}

// startLimitedWith starts the same with other stand-ins and another memory.
func startLimitedWith(t *testing.T, name string, spec fleet.Spec, memoryMB int) *testbed {
	spec.Servers, spec.Entries, spec.MaxBodyBytes, spec.NewHost = 1, 1, crowdBodyBytes, nextForwardHost
	s := startTestbed(t, spec)
	s.relaunch(name, limitDescriptors(append([]string{"env", fmt.Sprintf("ARBUTUS_MEMORY_MB=%d", memoryMB)}, s.daemons[name].command...), crowdDescriptors))
	return s
}

// relaunch kills a daemon and starts it again with another command.
func (s *testbed) relaunch(name string, command []string) {
	s.signal(name, syscall.SIGKILL)
	<-s.daemons[name].exited
	s.launch(name, command)
	s.awaitReady(name)
}

func (s *testbed) watchDaemon(name string) func() (memory int64, sockets int) {
	return s.watchUsage(name, strings.TrimPrefix(s.fleet.AdminURL(name), "http://"))
}

// requireServed checks that an ordinary request is served, and that a daemon is ready and has stayed within the limits.
func (s *testbed) requireServed(name string, usage func() (memory int64, sockets int), memoryMB int) {
	s.client.CloseIdleConnections()
	s.eventually("an ordinary request is answered", func() bool {
		return s.do(call{path: "/v1/completions", body: completionBody(prompt(100), 5, true)}).status == http.StatusOK
	})
	s.client.CloseIdleConnections()
	s.awaitReady(name)
	s.requireWithinLimits(name, usage, memoryMB, crowdDescriptors)
}

package processes

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusdeck/standin/fleet"
)

// These benchmarks print measurements of real processes and assert nothing.

// instantSpec makes the engine's time small compared with the time of the request path.
func instantSpec() fleet.Spec {
	spec := fleet.DefaultSpec()
	spec.Servers, spec.Entries, spec.Speed, spec.Slots = 3, 1, 1000, 2000
	spec.Engine.MemoryTokens = 50_000_000
	return spec
}

func firstByte(client *http.Client, url, body string) time.Duration {
	request, err := http.NewRequest(http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Header.Set("Authorization", "Bearer "+fleet.APIKey)
	request.Header.Set("X-Request-Kind", fleet.Kind)
	request.Header.Set("X-Stream-Id", strconv.FormatInt(time.Now().UnixNano(), 36))
	startedAt := time.Now()
	response, err := client.Do(request)
	if err != nil {
		panic(err)
	}
	defer response.Body.Close()
	var one [1]byte
	_, _ = io.ReadFull(response.Body, one[:])
	took := time.Since(startedAt)
	_, _ = io.Copy(io.Discard, response.Body)
	return took
}

func quantile(all []time.Duration, q float64) time.Duration {
	slices.Sort(all)
	return all[int(q*float64(len(all)-1))]
}

// BenchmarkPath prints the time to the first byte through both daemons and from the engine directly,
// alternating within one run.
func BenchmarkPath(b *testing.B) {
	s := startTestbed(b, instantSpec())
	const rounds = 3000
	body := completionBody(prompt(200), 1, true)
	var direct, through []time.Duration
	for i := range rounds + 200 {
		d := firstByte(s.client, s.fleet.EngineURL(0), body)
		p := firstByte(s.client, s.fleet.CallerURL(0), body)
		if i >= 200 {
			direct, through = append(direct, d), append(through, p)
		}
	}
	for _, q := range []float64{0.5, 0.99} {
		b.Logf("p%.0f: direct %s, through the daemons %s", 100*q, quantile(direct, q), quantile(through, q))
	}
}

// BenchmarkAtRest prints the memory and goroutines of each daemon without requests and with 1,000 open
// streams, and the time from start to ready.
func BenchmarkAtRest(b *testing.B) {
	spec := instantSpec()
	spec.Speed = 1
	spec.Servers = 1
	startedAt := time.Now()
	s := startTestbed(b, spec)
	b.Logf("start to ready, both daemons and the stand-ins' publication: %s", time.Since(startedAt).Round(time.Millisecond))
	s.printUsage(b, "at rest")
	s.client.Transport = &http.Transport{MaxIdleConnsPerHost: 2000}
	var wait sync.WaitGroup
	for range 1000 {
		wait.Go(func() { firstByte(s.client, s.fleet.CallerURL(0), completionBody(prompt(1), 400, true)) })
	}
	s.eventually("all streams are open", func() bool {
		var status struct{ OpenRequests int }
		return s.status(fleet.EntryName(0), "daemon", &status) && status.OpenRequests == 1000
	})
	s.printUsage(b, "1,000 open streams")
	wait.Wait()
}

// BenchmarkMillionTokens prints the entry's memory for one prompt of a million tokens, and for eight
// at once.
func BenchmarkMillionTokens(b *testing.B) {
	spec := instantSpec()
	s := startTestbed(b, spec)
	s.printUsage(b, "at rest")
	for _, count := range []int{1, 8} {
		var wait sync.WaitGroup
		for range count {
			wait.Go(func() {
				a := s.do(call{path: "/v1/completions", body: completionBody(strings.Repeat("poem", 1_000_000), 3, true),
					headers: map[string]string{"X-Request-Kind": fleet.LongKind}})
				require.Equal(b, 200, a.status, a.body)
			})
		}
		wait.Wait()
		s.printUsage(b, fmt.Sprintf("after %d prompts of 4,000,000 bytes at once", count))
	}
}

var goroutines = regexp.MustCompile(`(?m)^arbutusdeck_goroutines (\S+)`)

// printUsage prints the current and the peak resident memory and the goroutines of each daemon.
func (s *testbed) printUsage(b *testing.B, when string) {
	for name, d := range s.daemons {
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
		require.NoError(b, err)
		request, err := http.NewRequest(http.MethodGet, s.fleet.AdminURL(name)+"/metrics", nil)
		require.NoError(b, err)
		request.Header.Set("Authorization", "Bearer "+fleet.AdminToken)
		response, err := s.client.Do(request)
		require.NoError(b, err)
		text, _ := io.ReadAll(response.Body)
		response.Body.Close()
		count := goroutines.FindSubmatch(text)
		require.NotNil(b, count, string(text))
		b.Logf("%s, %s: resident %s, highest %s, goroutines %s", when, name, field(status, "VmRSS"), field(status, "VmHWM"), count[1])
	}
}

func field(status []byte, name string) string {
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, name+":"); ok {
			return strings.Join(strings.Fields(value), " ")
		}
	}
	return "?"
}

// clockTick is the unit of CPU times in /proc, the same on every Linux.
const clockTick = 10 * time.Millisecond

// processorTime returns the CPU time that a daemon has used.
func (s *testbed) processorTime(b *testing.B, name string) time.Duration {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", s.daemons[name].cmd.Process.Pid))
	require.NoError(b, err)
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, err := strconv.Atoi(fields[11])
	require.NoError(b, err)
	system, err := strconv.Atoi(fields[12])
	require.NoError(b, err)
	return time.Duration(user+system) * clockTick
}

// BenchmarkIdle prints the CPU time of idle daemons.
func BenchmarkIdle(b *testing.B) {
	s := startTestbed(b, fleet.DefaultSpec())
	const wait = 20 * time.Second
	before := map[string]time.Duration{}
	for name := range s.daemons {
		before[name] = s.processorTime(b, name)
	}
	time.Sleep(wait)
	for name := range s.daemons {
		used := s.processorTime(b, name) - before[name]
		b.Logf("%s: %.2f %% of a core", name, 100*used.Seconds()/wait.Seconds())
	}
}

// BenchmarkTokens prints the CPU time that each daemon uses for one token and for one request.
func BenchmarkTokens(b *testing.B) {
	spec := instantSpec()
	spec.Servers, spec.Speed = 1, 2
	s := startTestbed(b, spec)
	s.client.Transport = &http.Transport{MaxIdleConnsPerHost: 500}
	for _, c := range []struct{ requests, tokens int }{{2000, 1}, {400, 400}} {
		before := map[string]time.Duration{}
		for name := range s.daemons {
			before[name] = s.processorTime(b, name)
		}
		var wait sync.WaitGroup
		limit := make(chan bool, 200)
		for range c.requests {
			limit <- true
			wait.Go(func() {
				firstByte(s.client, s.fleet.CallerURL(0), completionBody(prompt(1), c.tokens, true))
				<-limit
			})
		}
		wait.Wait()
		for name := range s.daemons {
			used := s.processorTime(b, name) - before[name]
			b.Logf("%d requests of %d tokens, %s: %s a request, %s a token", c.requests, c.tokens, name,
				used/time.Duration(c.requests), used/time.Duration(c.requests*c.tokens))
		}
	}
}

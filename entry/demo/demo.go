// Package demo runs the whole system in one process against simulators of the platform
// and the engines. It sends short and very long prompts together, with and without
// isolation, and compares the times to the first token. It is not used for serving.
package demo

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gopkg.in/tomb.v2"

	"arbutusdeck/core/audit"
	"arbutusdeck/core/process"
	"arbutusdeck/core/scheduling"
	entry "arbutusdeck/entry/server"
	host "arbutusdeck/host/server"
	"arbutusdeck/standin/engine"
	"arbutusdeck/standin/fleet"
)

// Options configures a demo.
type Options struct {
	// Duration is the time for which callers send requests in each of the two runs.
	Duration time.Duration
	// Out receives the progress lines and the final table.
	Out io.Writer
}

// Parameters of the demo. The simulated engines run speed times faster than real ones,
// so that very long prompts complete within seconds. Printed times are not scaled back.
const (
	speed        = 20
	servers      = 3
	shortPerSec  = 30
	longEvery    = 700 * time.Millisecond
	shortTokens  = 1_500
	longTokens   = 250_000
	answerTokens = 20
	readyLimit   = 20 * time.Second
)

// RunResult holds the responses of one run as its callers saw them.
type RunResult struct {
	Name       string
	FirstToken map[string]*hdrhistogram.Histogram // microseconds, by prompt length
	Sent, Done int
	Refused    int
}

// Prompt lengths of the demo, as printed and as keys of RunResult.FirstToken.
const (
	shortLength = "short (1.5k tokens)"
	longLength  = "long (250k tokens)"
)

// Run runs the demo and prints its table. It returns an error if a daemon does not start or
// ctx is cancelled.
func Run(ctx context.Context, options Options) error {
	fmt.Fprintf(options.Out, "arbutusdeck demo: 1 entry, %d host daemons, %d engines (%d times real speed), %s for each run\n",
		servers, servers, speed, options.Duration)
	var results []*RunResult
	for _, policy := range []scheduling.Policy{scheduling.FirstComeFirstServed, scheduling.Isolating} {
		result, err := run(ctx, options, policy)
		if err != nil {
			return err
		}
		results = append(results, result)
	}
	return printTable(options.Out, results)
}

func run(ctx context.Context, options Options, policy scheduling.Policy) (*RunResult, error) {
	spec := fleet.DefaultSpec()
	spec.Servers, spec.Entries, spec.Speed, spec.Slots = servers, 1, speed, 16
	spec.Engine = engine.DefaultSpec()
	f, err := fleet.Start(spec)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	t := &tomb.Tomb{}
	t.Go(func() error { <-t.Dying(); return nil })
	defer func() {
		t.Kill(nil)
		_ = t.Wait()
	}()
	if err := startDaemons(t, f, policy); err != nil {
		return nil, err
	}
	if err := awaitReady(ctx, f); err != nil {
		return nil, err
	}
	result := &RunResult{Name: runNames[policy], FirstToken: map[string]*hdrhistogram.Histogram{shortLength: histogram(), longLength: histogram()}}
	sendTraffic(ctx, options, f, result)
	return result, ctx.Err()
}

var runNames = map[scheduling.Policy]string{
	scheduling.FirstComeFirstServed: "without isolation (first come, first served)",
	scheduling.Isolating:            "with isolation",
}

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(600*time.Second/time.Microsecond), 3)
}

func startDaemons(t *tomb.Tomb, f *fleet.Fleet, policy scheduling.Policy) error {
	for i := range servers {
		generated, err := f.HostSettings(i)
		if err != nil {
			return err
		}
		settings := host.Settings{Settings: commonSettings(generated.Common), Engines: generated.Engines, Services: generated.Services, SchedulingPolicy: string(policy)}
		daemonOptions := host.DefaultOptions(settings, process.NewDiscardLogger(), audit.NewTrail(nil, audit.DefaultMaxEvents))
		if policy == scheduling.FirstComeFirstServed {
			daemonOptions.Backend.Limits.WaitTolerance = disabledWaitTolerance
		}
		if err := host.New(daemonOptions).Start(t); err != nil {
			return err
		}
	}
	generated, err := f.EntrySettings(0)
	if err != nil {
		return err
	}
	settings := entry.Settings{Settings: commonSettings(generated.Common), ListenAddress: generated.ListenAddress}
	return entry.New(entry.DefaultOptions(settings, process.NewDiscardLogger(), audit.NewTrail(nil, audit.DefaultMaxEvents))).Start(t)
}

// disabledWaitTolerance is a WaitTolerance so large that hosts refuse no request early, as the
// baseline without isolation has no early refusals.
const disabledWaitTolerance = 1e4

func commonSettings(c fleet.Common) process.Settings {
	settings := process.Settings{Name: c.Name, Zone: c.Zone, AdminAddress: c.AdminAddress, AdminToken: c.AdminToken, Platform: c.Platform,
		PeerAddress: c.PeerAddress, Secret: c.Secret}
	for _, peer := range c.Peers {
		settings.Peers = append(settings.Peers, process.SeedPeer(peer))
	}
	return settings
}

func awaitReady(ctx context.Context, f *fleet.Fleet) error {
	deadline := time.Now().Add(readyLimit)
	pending := []string{fleet.EntryName(0)}
	for i := range servers {
		pending = append(pending, fleet.ServerName(i))
	}
	for _, name := range pending {
		for !ready(f.AdminURL(name) + "/readyz") {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Errorf("%s did not become ready", name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func ready(url string) bool {
	response, err := http.Get(url)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// sendTraffic sends short and long prompts for the duration of the run and prints the progress.
func sendTraffic(ctx context.Context, options Options, f *fleet.Fleet, result *RunResult) {
	fmt.Fprintf(options.Out, "\n%s\n", result.Name)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200}}
	defer client.CloseIdleConnections()
	random := rand.New(rand.NewPCG(1, 1))
	var group sync.WaitGroup
	var mu sync.Mutex
	send := func(length string, tokens int) {
		group.Go(func() {
			first, ok := sendPrompt(ctx, client, f.CallerURL(0), tokens)
			mu.Lock()
			defer mu.Unlock()
			result.Sent++
			if !ok {
				result.Refused++
				return
			}
			result.Done++
			_ = result.FirstToken[length].RecordValue(first.Microseconds())
		})
	}
	start := time.Now()
	nextLong, nextProgress := start, start.Add(time.Second)
	for now := start; now.Sub(start) < options.Duration && ctx.Err() == nil; now = time.Now() {
		send(shortLength, shortTokens)
		if !now.Before(nextLong) {
			nextLong = now.Add(longEvery)
			send(longLength, longTokens)
		}
		if !now.Before(nextProgress) {
			nextProgress = now.Add(time.Second)
			mu.Lock()
			fmt.Fprintf(options.Out, "  %2.0f s: %4d answered, short p95 %s\n", now.Sub(start).Seconds(), result.Done, p95(result.FirstToken[shortLength]))
			mu.Unlock()
		}
		time.Sleep(time.Duration(random.ExpFloat64() / shortPerSec * float64(time.Second)))
	}
	group.Wait()
}

// bytesPerToken is the factor by which the entry estimates the length of a prompt.
const bytesPerToken = 4

// sendPrompt sends one prompt. It returns the time to the first token, and false if the request
// was refused or failed.
func sendPrompt(ctx context.Context, client *http.Client, url string, tokens int) (time.Duration, bool) {
	kind := fleet.Kind
	if tokens == longTokens {
		kind = fleet.LongKind
	}
	body := fmt.Sprintf(`{"model":%q,"prompt":"%x %s","max_tokens":%d,"stream":true}`, fleet.Model, rand.Uint64(),
		strings.Repeat("poem", tokens*bytesPerToken/len("poem")), answerTokens)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return 0, false
	}
	request.Header.Set("Authorization", "Bearer "+fleet.APIKey)
	request.Header.Set("X-Request-Kind", kind)
	start := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, false
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body)
		return 0, false
	}
	var firstByte [1]byte
	_, err = io.ReadFull(response.Body, firstByte[:])
	first := time.Since(start)
	_, _ = io.Copy(io.Discard, response.Body)
	return first, err == nil
}

func p95(h *hdrhistogram.Histogram) string { return quantile(h, 95) }

func quantile(h *hdrhistogram.Histogram, q float64) string {
	return (time.Duration(h.ValueAtQuantile(q)) * time.Microsecond).Round(time.Millisecond).String()
}

func printTable(out io.Writer, results []*RunResult) error {
	fmt.Fprintln(out, "\ntime to first token, in the demo's own time")
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "run\tprompts\tanswered\tp50\tp95\tp99")
	for _, result := range results {
		for _, length := range []string{shortLength, longLength} {
			h := result.FirstToken[length]
			fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%s\n", result.Name, length, h.TotalCount(), quantile(h, 50), quantile(h, 95), quantile(h, 99))
		}
		fmt.Fprintf(table, "\trefused, with a time to come back\t%d\t\t\t\n", result.Refused)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	without, with := results[0].FirstToken[shortLength], results[1].FirstToken[shortLength]
	slowdown := float64(without.ValueAtQuantile(95)) / math.Max(1, float64(with.ValueAtQuantile(95)))
	_, err := fmt.Fprintf(out, "\nshort prompts beside long ones begin %.1f times later at p95 without isolation than with it\n", slowdown)
	return err
}

// Package demo runs the whole system in one process against stand-ins of the
// platform and the engines: short prompts beside enormous ones, with and without
// isolation. Nothing of it is on the serving path.
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

// Options describe a demo.
type Options struct {
	// Duration is how long callers come, for each of the two runs.
	Duration time.Duration
	// Out gets the progress and the closing table.
	Out io.Writer
}

// The engines run speed times faster than real ones, so that enormous prompts
// are seen within seconds. All printed times are those of the demo's own clock.
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

// RunResult is what the callers of one run saw.
type RunResult struct {
	Name       string
	FirstToken map[string]*hdrhistogram.Histogram // microseconds, by length
	Sent, Done int
	Refused    int
}

// Lengths of prompts in the demo.
const (
	shortLength = "short (1.5k tokens)"
	longLength  = "long (250k tokens)"
)

// Run runs the demo and prints its table.
func Run(ctx context.Context, options Options) error {
	fmt.Fprintf(options.Out, "arbutusdeck demo: 1 entry, %d host daemons, %d engines (%d times real speed), %s for each run\n",
		servers, servers, speed, options.Duration)
	var outcomes []*RunResult
	for _, policy := range []scheduling.Policy{scheduling.FirstComeFirstServed, scheduling.Isolating} {
		outcome, err := run(ctx, options, policy)
		if err != nil {
			return err
		}
		outcomes = append(outcomes, outcome)
	}
	return printTable(options.Out, outcomes)
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
	outcome := &RunResult{Name: names[policy], FirstToken: map[string]*hdrhistogram.Histogram{shortLength: histogram(), longLength: histogram()}}
	callers(ctx, options, f, outcome)
	return outcome, ctx.Err()
}

var names = map[scheduling.Policy]string{
	scheduling.FirstComeFirstServed: "without isolation (first come, first served)",
	scheduling.Isolating:            "with isolation",
}

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(600*time.Second/time.Microsecond), 3)
}

func startDaemons(t *tomb.Tomb, f *fleet.Fleet, policy scheduling.Policy) error {
	for i := range servers {
		written, err := f.HostSettings(i)
		if err != nil {
			return err
		}
		settings := host.Settings{Settings: common(written.Common), Engines: written.Engines, Services: written.Services, SchedulingPolicy: string(policy)}
		daemonOptions := host.DefaultOptions(settings, process.Quiet(), audit.NewTrail(nil, audit.DefaultLimit))
		if policy == scheduling.FirstComeFirstServed {
			daemonOptions.Backend.Limits.Patience = patient
		}
		if err := host.New(daemonOptions).Start(t); err != nil {
			return err
		}
	}
	written, err := f.EntrySettings(0)
	if err != nil {
		return err
	}
	settings := entry.Settings{Settings: common(written.Common), ListenAddress: written.ListenAddress}
	return entry.New(entry.DefaultOptions(settings, process.Quiet(), audit.NewTrail(nil, audit.DefaultLimit))).Start(t)
}

// patient switches early refusals off, which the plain baseline does not have.
const patient = 1e4

func common(c fleet.Common) process.Settings {
	settings := process.Settings{Name: c.Name, Zone: c.Zone, AdminAddress: c.AdminAddress, AdminToken: c.AdminToken, Platform: c.Platform,
		PeerAddress: c.PeerAddress, Secret: c.Secret}
	for _, peer := range c.Peers {
		settings.Peers = append(settings.Peers, process.SeedPeer(peer))
	}
	return settings
}

func awaitReady(ctx context.Context, f *fleet.Fleet) error {
	deadline := time.Now().Add(readyLimit)
	waiting := []string{fleet.EntryName(0)}
	for i := range servers {
		waiting = append(waiting, fleet.ServerName(i))
	}
	for _, name := range waiting {
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

// callers sends both kinds of traffic and shows how it goes.
func callers(ctx context.Context, options Options, f *fleet.Fleet, outcome *RunResult) {
	fmt.Fprintf(options.Out, "\n%s\n", outcome.Name)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200}}
	defer client.CloseIdleConnections()
	random := rand.New(rand.NewPCG(1, 1))
	var wait sync.WaitGroup
	var mu sync.Mutex
	send := func(length string, tokens int) {
		wait.Go(func() {
			first, ok := ask(ctx, client, f.CallerURL(0), tokens)
			mu.Lock()
			defer mu.Unlock()
			outcome.Sent++
			if !ok {
				outcome.Refused++
				return
			}
			outcome.Done++
			_ = outcome.FirstToken[length].RecordValue(first.Microseconds())
		})
	}
	begun := time.Now()
	nextLong, nextLine := begun, begun.Add(time.Second)
	for now := begun; now.Sub(begun) < options.Duration && ctx.Err() == nil; now = time.Now() {
		send(shortLength, shortTokens)
		if !now.Before(nextLong) {
			nextLong = now.Add(longEvery)
			send(longLength, longTokens)
		}
		if !now.Before(nextLine) {
			nextLine = now.Add(time.Second)
			mu.Lock()
			fmt.Fprintf(options.Out, "  %2.0f s: %4d answered, short p95 %s\n", now.Sub(begun).Seconds(), outcome.Done, p95(outcome.FirstToken[shortLength]))
			mu.Unlock()
		}
		time.Sleep(time.Duration(random.ExpFloat64() / shortPerSec * float64(time.Second)))
	}
	wait.Wait()
}

// bytesPerToken is how the entry reckons a prompt's length.
const bytesPerToken = 4

// ask sends one prompt and returns the time to its first token.
func ask(ctx context.Context, client *http.Client, url string, tokens int) (time.Duration, bool) {
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
	begun := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, false
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, response.Body)
		return 0, false
	}
	var one [1]byte
	_, err = io.ReadFull(response.Body, one[:])
	first := time.Since(begun)
	_, _ = io.Copy(io.Discard, response.Body)
	return first, err == nil
}

func p95(h *hdrhistogram.Histogram) string { return quantile(h, 95) }

func quantile(h *hdrhistogram.Histogram, q float64) string {
	return (time.Duration(h.ValueAtQuantile(q)) * time.Microsecond).Round(time.Millisecond).String()
}

func printTable(out io.Writer, outcomes []*RunResult) error {
	fmt.Fprintln(out, "\ntime to first token, in the demo's own time")
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "run\tprompts\tanswered\tp50\tp95\tp99")
	for _, outcome := range outcomes {
		for _, length := range []string{shortLength, longLength} {
			h := outcome.FirstToken[length]
			fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%s\n", outcome.Name, length, h.TotalCount(), quantile(h, 50), quantile(h, 95), quantile(h, 99))
		}
		fmt.Fprintf(table, "\trefused, with a time to come back\t%d\t\t\t\n", outcome.Refused)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	without, with := outcomes[0].FirstToken[shortLength], outcomes[1].FirstToken[shortLength]
	slowdown := float64(without.ValueAtQuantile(95)) / math.Max(1, float64(with.ValueAtQuantile(95)))
	_, err := fmt.Fprintf(out, "\nshort prompts beside long ones begin %.1f times later at p95 without isolation than with it\n", slowdown)
	return err
}

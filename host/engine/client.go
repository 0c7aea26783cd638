// Package engine is the HTTP client for the model engines and plain services of
// one backend server.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"arbutusdeck/core/callers"
	"arbutusdeck/core/memory"
	"arbutusdeck/core/netopts"
	"arbutusdeck/core/orders"
	"arbutusdeck/core/responses"
)

// Errors returned by Client, wrapped with the cause.
var (
	// ErrNotSent means that no byte reached the engine, so nothing ran.
	ErrNotSent = errors.New("engine not reached")
	// ErrBusy means that the engine refused the stream before running it.
	ErrBusy = errors.New("engine temporarily unavailable")
	// ErrFailed means that the engine failed or its response was truncated.
	ErrFailed = errors.New("engine failed")
	// ErrFenced means that the engine has seen a higher fencing token.
	ErrFenced = errors.New("fenced off")
	// ErrThrottled means that the weight store is rate limiting.
	ErrThrottled = errors.New("weight store throttled")
)

// Request headers of the engine protocol.
const (
	HeaderStream   = "X-Stream-Id"
	HeaderPriority = "X-Priority"
	HeaderGroup    = "X-Engine-Group"
	HeaderFence    = "X-Fencing-Token"
)

// Client calls one engine or plain service. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// dialTimeout bounds the opening of a connection to an engine.
const dialTimeout = time.Second

// NewClient returns a client for a base URL such as http://127.0.0.1:8000. It opens a connection for each request: on a
// reused one a late or additional response would be taken for that of the next request.
func NewClient(base string) *Client {
	dialer := &netopts.Dialer{Dialer: net.Dialer{Control: netopts.ReceiveControl(callers.ServerReceiveBytes, netopts.NoControl)}, RunTimeout: dialTimeout}
	transport := responses.NewTransport(&http.Transport{
		DialContext:        dialer.DialContext,
		DisableKeepAlives:  true,
		DisableCompression: true,
	})
	return &Client{base: base, http: &http.Client{Transport: transport}}
}

// Call describes one request to an engine or plain service.
type Call struct {
	// Model reports whether the target is a model engine. Engines get stream
	// headers, and their error statuses are returned as errors.
	Model       bool
	Method      string
	Path        string
	ContentType string
	Stream      string
	Priority    int
	// Group lists the engines that serve the prompt together, comma-separated.
	Group string
	// Fence is the fencing token; zero sends none.
	Fence  uint64
	Body   io.Reader
	Length int64
}

// ResponseHead holds the status and headers of a response that callers need.
type ResponseHead struct {
	Status      int
	ContentType string
}

// chunkSize bounds one chunk of a response, in bytes.
const chunkSize = 32 << 10

// Run sends the request and passes each chunk of the response to onChunk as it
// arrives; an empty body yields one call with no data. Errors wrap ErrNotSent,
// ErrBusy or ErrFailed. An error status of a plain service is not an error: it
// is passed on as the response. An error of onChunk ends the call with ErrFailed.
func (c *Client) Run(ctx context.Context, call Call, onChunk func(head ResponseHead, data []byte) error) error {
	request, err := c.request(ctx, call)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrNotSent, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return callError(err)
	}
	defer response.Body.Close()
	if call.Model {
		if err := engineStatus(response); err != nil {
			return err
		}
	}
	return readChunks(response, onChunk)
}

func (c *Client) request(ctx context.Context, call Call) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, c.base+call.Path, call.Body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = call.Length
	if call.ContentType != "" {
		request.Header.Set("Content-Type", call.ContentType)
	}
	if call.Model {
		request.Header.Set(HeaderStream, call.Stream)
		request.Header.Set(HeaderPriority, strconv.Itoa(call.Priority))
	}
	if call.Group != "" {
		request.Header.Set(HeaderGroup, call.Group)
	}
	if call.Fence > 0 {
		request.Header.Set(HeaderFence, strconv.FormatUint(call.Fence, 10))
	}
	return request, nil
}

// callError returns ErrNotSent if the connection was never established, else
// ErrFailed.
func callError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %v", ErrNotSent, err)
	}
	return fmt.Errorf("%w: %v", ErrFailed, err)
}

func engineStatus(response *http.Response) error {
	switch {
	case response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusServiceUnavailable:
		return fmt.Errorf("%w: status %d", ErrBusy, response.StatusCode)
	case response.StatusCode >= http.StatusInternalServerError:
		return fmt.Errorf("%w: status %d", ErrFailed, response.StatusCode)
	}
	return nil
}

func readChunks(response *http.Response, onChunk func(head ResponseHead, data []byte) error) error {
	head := ResponseHead{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type")}
	buffer := make([]byte, chunkSize)
	sent := false
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if err := onChunk(head, bytes.Clone(buffer[:n])); err != nil {
				return fmt.Errorf("%w: %v", ErrFailed, err)
			}
			sent = true
		}
		if errors.Is(err, io.EOF) {
			if !sent {
				return onChunk(head, nil)
			}
			return nil
		}
		if err != nil {
			return fmt.Errorf("%w: response truncated: %v", ErrFailed, err)
		}
	}
}

// probeTimeout bounds the liveness probe of an engine, which runs on the same host.
const probeTimeout = 100 * time.Millisecond

// HasCrashed reports whether the engine's process has crashed, that is, whether its
// host refuses connections to its address.
func (c *Client) HasCrashed(ctx context.Context) bool {
	base, err := url.Parse(c.base)
	if err != nil {
		return false
	}
	return netopts.RefusesConnections(ctx, base.Host, probeTimeout)
}

// Cancel ends a stream. It is idempotent.
func (c *Client) Cancel(ctx context.Context, stream string) error {
	return c.control(ctx, http.MethodDelete, "/v1/streams/"+url.PathEscape(stream), nil, nil)
}

// Pause suspends a stream; its memory stays allocated.
func (c *Client) Pause(ctx context.Context, stream string) error {
	return c.control(ctx, http.MethodPost, "/v1/streams/"+url.PathEscape(stream)+"/pause", nil, nil)
}

// Resume continues a paused stream.
func (c *Client) Resume(ctx context.Context, stream string) error {
	return c.control(ctx, http.MethodPost, "/v1/streams/"+url.PathEscape(stream)+"/resume", nil, nil)
}

type priorityBody struct {
	Priority int `json:"priority"`
}

// SetPriority changes a stream's priority; lower values are served first.
func (c *Client) SetPriority(ctx context.Context, stream string, priority int) error {
	return c.control(ctx, http.MethodPost, "/v1/streams/"+url.PathEscape(stream)+"/priority", priorityBody{priority}, nil)
}

// State is an engine's report of its configuration and its streams.
type State struct {
	Model    string       `json:"model"`
	Version  string       `json:"version"`
	Adapters []string     `json:"adapters"`
	Role     string       `json:"role"`
	Fence    uint64       `json:"fence"`
	Busy     bool         `json:"busy"`
	Streams  []StreamInfo `json:"streams"`
}

// StreamInfo describes one stream that occupies engine memory.
type StreamInfo struct {
	ID     string `json:"id"`
	Tokens int64  `json:"tokens"`
}

// Observation converts the state for the order reconciler.
func (s State) Observation() orders.Observation {
	return orders.Observation{State: orders.EngineState{Model: s.Model, Version: s.Version, Adapters: s.Adapters, Role: s.Role},
		Fence: s.Fence, Busy: s.Busy}
}

// EngineStreams converts the streams for the recovery of memory leases.
func (s State) EngineStreams(engine string) []memory.EngineStream {
	var streams []memory.EngineStream
	for _, stream := range s.Streams {
		streams = append(streams, memory.EngineStream{Engine: engine, ID: stream.ID, Tokens: stream.Tokens})
	}
	return streams
}

// State fetches the engine's state.
func (c *Client) State(ctx context.Context) (State, error) {
	var state State
	err := c.control(ctx, http.MethodGet, "/v1/state", nil, &state)
	return state, err
}

type orderBody struct {
	Fence    uint64   `json:"fence"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
}

// Order asks the engine to change to the desired state and waits until it has.
// Errors wrap ErrFenced, ErrThrottled, ErrNotSent or ErrFailed.
func (c *Client) Order(ctx context.Context, order orders.Order) error {
	body := orderBody{Fence: order.Fence, Model: order.Desired.Model, Version: order.Desired.Version,
		Adapters: order.Desired.Adapters, Role: order.Desired.Role}
	return c.control(ctx, http.MethodPost, "/v1/orders", body, nil)
}

// CacheEvent is one change of an engine's prefix cache. Events may be delayed
// or missing.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Evicted  bool   `json:"evicted"`
}

// CacheEvents fetches the events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	err := c.control(ctx, http.MethodGet, fmt.Sprintf("/v1/cache-events?after=%d", after), nil, &events)
	return events, err
}

// Load is an engine's report of its own load. It lags behind the true load.
type Load struct {
	Running    int   `json:"running"`
	UsedTokens int64 `json:"usedTokens"`
}

// Load fetches the engine's load report.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var load Load
	err := c.control(ctx, http.MethodGet, "/v1/load", nil, &load)
	return load, err
}

// maxControlResponse bounds the response to a control request, in bytes. The largest is a list of cache events.
const maxControlResponse = 4 << 20

func (c *Client) control(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("%w: %v", ErrNotSent, err)
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrNotSent, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return callError(err)
	}
	defer response.Body.Close()
	response.Body = http.MaxBytesReader(nil, response.Body, maxControlResponse)
	return decodeControl(response, out)
}

func decodeControl(response *http.Response, out any) error {
	switch {
	case response.StatusCode == http.StatusConflict:
		return ErrFenced
	case response.StatusCode == http.StatusTooManyRequests:
		return ErrThrottled
	case response.StatusCode/100 != 2:
		return fmt.Errorf("%w: status %d", ErrFailed, response.StatusCode)
	}
	body, err := io.ReadAll(response.Body)
	if err == nil && out != nil {
		err = json.Unmarshal(body, out)
	}
	if err != nil {
		return fmt.Errorf("%w: %v", ErrFailed, err)
	}
	return nil
}

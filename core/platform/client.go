// Package platform is a read-only client for the platform's API: the configuration
// folder, a long-poll for its changes, and the list of hosts, which lags behind.
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"arbutusdeck/core/config"
	"arbutusdeck/core/responses"
)

// Errors of Client.
var (
	// ErrUnavailable is wrapped if the platform did not reply or its reply
	// violates the protocol.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrSuperseded is returned if the platform no longer stores the requested
	// revision.
	ErrSuperseded = errors.New("revision superseded")
)

// Host is a row of the platform's list of hosts.
type Host struct {
	Server   string `json:"server"`
	Address  string `json:"address"`
	Draining bool   `json:"leaving"`
}

// Options configures a Client.
type Options struct {
	// BaseURL is the platform's base URL, as in http://10.0.0.2:7000.
	BaseURL string
	// WatchWait is the time for which the platform holds a watch open; 0 means
	// DefaultWatchWait.
	WatchWait time.Duration
	// Timeout bounds every other call, and a watch in addition to WatchWait; 0
	// means DefaultTimeout.
	Timeout time.Duration
	// HTTP is the client for the calls; nil means a new one.
	HTTP *http.Client
}

// Defaults of Options, and the limit of a value.
const (
	DefaultWatchWait = 25 * time.Second
	DefaultTimeout   = 3 * time.Second
	// MaxValueBytes is the maximum size of a value on the platform, in bytes.
	MaxValueBytes = 1 << 20
)

// Client calls the platform over HTTP.
type Client struct{ options Options }

// NewClient returns a Client. Zero options are replaced by their defaults.
func NewClient(options Options) *Client {
	if options.WatchWait == 0 {
		options.WatchWait = DefaultWatchWait
	}
	if options.Timeout == 0 {
		options.Timeout = DefaultTimeout
	}
	if options.HTTP == nil {
		options.HTTP = responses.NewClient()
	}
	return &Client{options}
}

// Watch long-polls for a manifest above a revision. It returns nil without an error
// if there was none within WatchWait.
func (c *Client) Watch(ctx context.Context, above uint64) (*config.Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.WatchWait+c.options.Timeout)
	defer cancel()
	query := url.Values{"above": {fmt.Sprint(above)}, "wait": {c.options.WatchWait.String()}}
	body, status, err := c.get(ctx, "/v1/folder?"+query.Encode())
	if err != nil || status == http.StatusNoContent {
		return nil, err
	}
	var manifest config.Manifest
	if err := json.Unmarshal(body, &manifest); err != nil {
		return nil, fmt.Errorf("%w: manifest: %v", ErrUnavailable, err)
	}
	return &manifest, nil
}

// ReadFile reads one file of a revision.
func (c *Client) ReadFile(ctx context.Context, revision uint64, name string) (config.File, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	body, _, err := c.get(ctx, fmt.Sprintf("/v1/folder/%d/%s", revision, url.PathEscape(name)))
	return config.File{Name: name, Content: body}, err
}

// Hosts reads the list of hosts.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	body, _, err := c.get(ctx, "/v1/hosts")
	if err != nil {
		return nil, err
	}
	var hosts []Host
	if err := json.Unmarshal(body, &hosts); err != nil {
		return nil, fmt.Errorf("%w: host list: %v", ErrUnavailable, err)
	}
	return hosts, nil
}

func (c *Client) get(ctx context.Context, path string) ([]byte, int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.options.BaseURL+path, nil)
	if err != nil {
		return nil, 0, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	response, err := c.options.HTTP.Do(request)
	if err != nil {
		return nil, 0, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxValueBytes+1))
	switch {
	case err != nil:
		return nil, 0, fmt.Errorf("%w: %v", ErrUnavailable, err)
	case response.StatusCode == http.StatusGone:
		return nil, 0, ErrSuperseded
	case response.StatusCode/100 != 2:
		return nil, 0, fmt.Errorf("%w: status %d", ErrUnavailable, response.StatusCode)
	case len(body) > MaxValueBytes:
		return nil, 0, fmt.Errorf("%w: value above %d bytes", ErrUnavailable, MaxValueBytes)
	}
	return body, response.StatusCode, nil
}

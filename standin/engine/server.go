package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uptrace/bunrouter"
)

// Options configure a Server.
type Options struct {
	Name string
	Spec Spec
	// Speed divides the real duration of batches and orders; 0 means 1.
	Speed float64
	// ChecksFencing rejects orders whose fencing token is not above the last one's.
	ChecksFencing bool
	// OrderDelay is the time that an order takes to be applied.
	OrderDelay time.Duration
	// Model and Version are loaded at the start.
	Model, Version string
	// CrashesOn reports whether the engine's process crashes as it starts to run a prompt; nil
	// means never. The process has crashed when the call returns.
	CrashesOn func(prompt []byte) bool
}

// Server serves the HTTP protocol of one simulated engine. A stream whose caller
// has disconnected keeps its memory until it is cancelled.
type Server struct {
	options Options

	mu         sync.Mutex
	model      *Model
	tokenSinks map[string]chan Token
	wake       chan struct{}
	state      State
	runs       map[string]int // runs of each prompt, by its fingerprint
	// breakAfter is the number of tokens after which streams break; 0 means never.
	breakAfter     int
	refusesStreams bool
	orders         []Order
	loads          []Load
	closed         chan struct{}
}

// State is the reported state of an engine.
type State struct {
	Model    string       `json:"model"`
	Version  string       `json:"version"`
	Adapters []string     `json:"adapters"`
	Role     string       `json:"role"`
	Fence    uint64       `json:"fence"`
	Busy     bool         `json:"busy"`
	Streams  []StreamInfo `json:"streams"`
}

// StreamInfo describes one stream that occupies memory.
type StreamInfo struct {
	ID     string `json:"id"`
	Tokens int64  `json:"tokens"`
}

// Order is an order for the engine's desired state, as received.
type Order struct {
	Fence    uint64   `json:"fence"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
	// Fenced reports that the order was rejected for an old fencing token.
	Fenced bool `json:"-"`
}

// New starts an engine. Close stops it.
func New(options Options) *Server {
	if options.Speed == 0 {
		options.Speed = 1
	}
	s := &Server{options: options, model: NewModel(options.Spec), tokenSinks: map[string]chan Token{}, wake: make(chan struct{}, 1),
		runs: map[string]int{}, closed: make(chan struct{}),
		state: State{Model: options.Model, Version: options.Version, Role: "both"}}
	go s.runBatches()
	go s.sampleLoad()
	return s
}

// Close stops the engine's batches and breaks open streams.
func (s *Server) Close() { close(s.closed) }

// Handler serves the engine's protocol.
func (s *Server) Handler() http.Handler {
	router := bunrouter.New()
	router.POST("/v1/completions", s.complete)
	router.POST("/v1/chat/completions", s.complete)
	router.GET("/v1/state", s.serveState)
	router.DELETE("/v1/streams/:id", s.cancel)
	router.POST("/v1/streams/:id/pause", s.streamControl(func(m *Model, id string, _ int) { m.SetPaused(id, true) }))
	router.POST("/v1/streams/:id/resume", s.streamControl(func(m *Model, id string, _ int) { m.SetPaused(id, false) }))
	router.POST("/v1/streams/:id/priority", s.streamControl(func(m *Model, id string, p int) { m.SetPriority(id, p) }))
	router.POST("/v1/orders", s.applyOrder)
	router.GET("/v1/load", s.serveLoad)
	router.GET("/v1/cache-events", s.serveCacheEvents)
	return router
}

// runBatches runs the model's batches in real time.
func (s *Server) runBatches() {
	for {
		s.mu.Lock()
		idle, step := s.model.Idle(), s.model.StepTime()
		s.mu.Unlock()
		if idle {
			select {
			case <-s.wake:
			case <-s.closed:
				return
			}
			continue
		}
		select {
		case <-time.After(time.Duration(float64(step) / s.options.Speed)):
		case <-s.closed:
			return
		}
		s.mu.Lock()
		for _, token := range s.model.Batch() {
			if sink := s.tokenSinks[token.Stream]; sink != nil {
				sink <- token // never blocks: the channel has room for the whole answer
			}
		}
		s.mu.Unlock()
	}
}

type completionBody struct {
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int64           `json:"max_tokens"`
}

const (
	defaultOutputTokens = 16
	prefixBytes         = 2048
	bytesPerToken       = 4
)

func (s *Server) complete(w http.ResponseWriter, r bunrouter.Request) error {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, "the body broke off", http.StatusBadRequest)
		return nil
	}
	var body completionBody
	if err := json.Unmarshal(data, &body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil
	}
	stream, prompt := parseStream(r.Header, body)
	if s.options.CrashesOn != nil && s.options.CrashesOn(prompt) {
		panic(http.ErrAbortHandler)
	}
	sink, err := s.startStream(stream, prompt)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return nil
	}
	s.writeStream(w, r, stream.ID, Fingerprint(prompt), sink)
	return nil
}

func parseStream(header http.Header, body completionBody) (Stream, []byte) {
	prompt := body.Prompt
	if prompt == nil {
		prompt = body.Messages
	}
	priority, _ := strconv.Atoi(header.Get("X-Priority"))
	stream := Stream{ID: header.Get("X-Stream-Id"), PromptTokens: int64(len(prompt)/bytesPerToken) + 1, OutputTokens: body.MaxTokens, Priority: priority}
	if stream.OutputTokens == 0 {
		stream.OutputTokens = defaultOutputTokens
	}
	if group := header.Get("X-Engine-Group"); group != "" {
		stream.Share = 1 / float64(1+strings.Count(group, ","))
	}
	if len(prompt) >= prefixBytes {
		stream.Prefix = xxhash.Sum64(prompt[:prefixBytes])
	}
	return stream, prompt
}

// Fingerprint returns a hash of a prompt, in hexadecimal. The tokens of an answer
// carry it, so that a test can tell to which prompt an answer belongs.
func Fingerprint(prompt []byte) string { return fmt.Sprintf("%08x", uint32(xxhash.Sum64(prompt))) }

func (s *Server) startStream(stream Stream, prompt []byte) (chan Token, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusesStreams {
		return nil, ErrInsufficientMemory
	}
	if err := s.model.Add(stream); err != nil {
		return nil, err
	}
	s.runs[Fingerprint(prompt)]++
	sink := make(chan Token, stream.OutputTokens+1)
	s.tokenSinks[stream.ID] = sink
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return sink, nil
}

func (s *Server) writeStream(w http.ResponseWriter, r bunrouter.Request, id, fingerprint string, sink chan Token) {
	controller := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	for {
		select {
		case token, open := <-sink:
			if !open {
				panic(http.ErrAbortHandler) // cancelled
			}
			s.mu.Lock()
			breakAfter := s.breakAfter
			s.mu.Unlock()
			if breakAfter > 0 && token.Index > int64(breakAfter) {
				panic(http.ErrAbortHandler)
			}
			writeToken(w, id, s.options.Model, fingerprint, token)
			_ = controller.Flush()
			if token.Last {
				s.removeStream(id)
				fmt.Fprint(w, "data: [DONE]\n\n")
				return
			}
		case <-r.Context().Done():
			return // the stream keeps its memory until it is cancelled
		case <-s.closed:
			panic(http.ErrAbortHandler)
		}
	}
}

func (s *Server) cancel(w http.ResponseWriter, r bunrouter.Request) error {
	s.mu.Lock()
	sink := s.tokenSinks[r.Param("id")]
	s.mu.Unlock()
	s.removeStream(r.Param("id"))
	if sink != nil {
		close(sink)
	}
	w.WriteHeader(http.StatusNoContent)
	return nil
}

func (s *Server) removeStream(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.Remove(id)
	delete(s.tokenSinks, id)
}

func writeToken(w io.Writer, id, model, fingerprint string, token Token) {
	finish := "null"
	if token.Last {
		finish = `"stop"`
	}
	fmt.Fprintf(w, "data: {\"id\":%q,\"object\":\"text_completion\",\"model\":%q,\"choices\":[{\"index\":0,\"text\":\"%s-%d \",\"finish_reason\":%s}]}\n\n",
		id, model, fingerprint, token.Index, finish)
}

func (s *Server) streamControl(change func(m *Model, id string, priority int)) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		var body struct {
			Priority int `json:"priority"`
		}
		_ = json.NewDecoder(r.Body).Decode(&body)
		s.mu.Lock()
		change(s.model, r.Param("id"), body.Priority)
		s.mu.Unlock()
		select {
		case s.wake <- struct{}{}:
		default:
		}
		w.WriteHeader(http.StatusNoContent)
		return nil
	}
}

func (s *Server) serveState(w http.ResponseWriter, _ bunrouter.Request) error {
	s.mu.Lock()
	state := s.state
	for _, stream := range s.model.Streams() {
		state.Streams = append(state.Streams, StreamInfo{ID: stream.ID, Tokens: stream.MemoryTokens()})
	}
	s.mu.Unlock()
	return json.NewEncoder(w).Encode(state)
}

func (s *Server) applyOrder(w http.ResponseWriter, r bunrouter.Request) error {
	var order Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil
	}
	s.mu.Lock()
	order.Fenced = s.options.ChecksFencing && order.Fence <= s.state.Fence
	s.orders = append(s.orders, order)
	if order.Fenced {
		s.mu.Unlock()
		w.WriteHeader(http.StatusConflict)
		return nil
	}
	s.state.Fence = max(s.state.Fence, order.Fence)
	s.state.Busy = true
	s.mu.Unlock()
	time.Sleep(time.Duration(float64(s.options.OrderDelay) / s.options.Speed))
	s.mu.Lock()
	s.state.Model, s.state.Version, s.state.Adapters, s.state.Role = order.Model, order.Version, order.Adapters, order.Role
	s.state.Busy = false
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
	return nil
}

// UsedTokens returns the memory in use, in tokens.
func (s *Server) UsedTokens() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model.UsedTokens()
}

// Runs returns the number of times that a prompt was started.
func (s *Server) Runs(prompt []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[Fingerprint(prompt)]
}

// Orders returns all orders received, those rejected too.
func (s *Server) Orders() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Order{}, s.orders...)
}

// BreakAfter aborts the connections of streams after a number of tokens; 0 turns
// this off.
func (s *Server) BreakAfter(tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breakAfter = tokens
}

// RefuseStreams makes the engine refuse new streams for lack of memory.
func (s *Server) RefuseStreams(refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusesStreams = refuse
}

// SetSlowdown multiplies the duration of every batch by factor.
func (s *Server) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.SetSlowdown(factor)
}

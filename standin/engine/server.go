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

// Options are the parts of a Server.
type Options struct {
	Name string
	Spec Spec
	// Speed makes time run faster than it does.
	Speed float64
	// ChecksFencing refuses orders with an old fencing number.
	ChecksFencing bool
	// OrderDelay is how long an order takes.
	OrderDelay time.Duration
	// Model and Version are loaded at the start.
	Model, Version string
	// CrashesOn says under which prompts the engine's process ends as it begins to run them;
	// nil for none. It has ended when the call returns.
	CrashesOn func(prompt []byte) bool
}

// Server is the HTTP stand-in of one engine. A stream whose caller is gone keeps
// its memory until it is cancelled.
type Server struct {
	options Options

	mu      sync.Mutex
	model   *Model
	sinks   map[string]chan Token
	wake    chan struct{}
	state   State
	runs    map[string]int // how often each body ran, by its hash
	broken  int            // tokens after which streams break off; 0: never
	refused bool
	orders  []Order
	loads   []Load
	closed  chan struct{}
}

// State is what the engine reports.
type State struct {
	Model    string       `json:"model"`
	Version  string       `json:"version"`
	Adapters []string     `json:"adapters"`
	Role     string       `json:"role"`
	Fence    uint64       `json:"fence"`
	Busy     bool         `json:"busy"`
	Streams  []StreamInfo `json:"streams"`
}

// StreamInfo is one stream that holds memory.
type StreamInfo struct {
	ID     string `json:"id"`
	Tokens int64  `json:"tokens"`
}

// Order is an order as received.
type Order struct {
	Fence    uint64   `json:"fence"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
	// Fenced says that the fencing number was old.
	Fenced bool `json:"-"`
}

// New returns an engine that Close ends.
func New(options Options) *Server {
	if options.Speed == 0 {
		options.Speed = 1
	}
	s := &Server{options: options, model: NewModel(options.Spec), sinks: map[string]chan Token{}, wake: make(chan struct{}, 1),
		runs: map[string]int{}, closed: make(chan struct{}),
		state: State{Model: options.Model, Version: options.Version, Role: "both"}}
	go s.batches()
	go s.noteLoad()
	return s
}

// Close ends the engine's batches.
func (s *Server) Close() { close(s.closed) }

// Handler serves the engine's protocol.
func (s *Server) Handler() http.Handler {
	router := bunrouter.New()
	router.POST("/v1/completions", s.complete)
	router.POST("/v1/chat/completions", s.complete)
	router.GET("/v1/state", s.report)
	router.DELETE("/v1/streams/:id", s.cancel)
	router.POST("/v1/streams/:id/pause", s.control(func(m *Model, id string, _ int) { m.SetPaused(id, true) }))
	router.POST("/v1/streams/:id/resume", s.control(func(m *Model, id string, _ int) { m.SetPaused(id, false) }))
	router.POST("/v1/streams/:id/priority", s.control(func(m *Model, id string, p int) { m.SetPriority(id, p) }))
	router.POST("/v1/orders", s.order)
	router.GET("/v1/load", s.load)
	router.GET("/v1/cache-events", s.cacheEvents)
	return router
}

// batches runs the model's batches in real time.
func (s *Server) batches() {
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
			if sink := s.sinks[token.Stream]; sink != nil {
				sink <- token // never blocks: the channel holds the whole answer
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
	defaultAnswer = 16
	prefixBytes   = 2048
	bytesPerToken = 4
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
	stream, prompt := streamOf(r.Header, body)
	if s.options.CrashesOn != nil && s.options.CrashesOn(prompt) {
		panic(http.ErrAbortHandler)
	}
	sink, err := s.begin(stream, prompt)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return nil
	}
	s.answer(w, r, stream.ID, Fingerprint(prompt), sink)
	return nil
}

func streamOf(header http.Header, body completionBody) (Stream, []byte) {
	prompt := body.Prompt
	if prompt == nil {
		prompt = body.Messages
	}
	priority, _ := strconv.Atoi(header.Get("X-Priority"))
	stream := Stream{ID: header.Get("X-Stream-Id"), PromptTokens: int64(len(prompt)/bytesPerToken) + 1, OutputTokens: body.MaxTokens, Priority: priority}
	if stream.OutputTokens == 0 {
		stream.OutputTokens = defaultAnswer
	}
	if group := header.Get("X-Engine-Group"); group != "" {
		stream.Share = 1 / float64(1+strings.Count(group, ","))
	}
	if len(prompt) >= prefixBytes {
		stream.Prefix = xxhash.Sum64(prompt[:prefixBytes])
	}
	return stream, prompt
}

// Fingerprint names a prompt in the tokens of its answer, so that a test can
// tell whose answer it got.
func Fingerprint(prompt []byte) string { return fmt.Sprintf("%08x", uint32(xxhash.Sum64(prompt))) }

func (s *Server) begin(stream Stream, prompt []byte) (chan Token, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refused {
		return nil, ErrInsufficientMemory
	}
	if err := s.model.Add(stream); err != nil {
		return nil, err
	}
	s.runs[Fingerprint(prompt)]++
	sink := make(chan Token, stream.OutputTokens+1)
	s.sinks[stream.ID] = sink
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return sink, nil
}

func (s *Server) answer(w http.ResponseWriter, r bunrouter.Request, id, fingerprint string, sink chan Token) {
	controller := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	for {
		select {
		case token, open := <-sink:
			if !open {
				panic(http.ErrAbortHandler) // cancelled
			}
			s.mu.Lock()
			broken := s.broken
			s.mu.Unlock()
			if broken > 0 && token.Index > int64(broken) {
				panic(http.ErrAbortHandler)
			}
			writeToken(w, id, s.options.Model, fingerprint, token)
			_ = controller.Flush()
			if token.Last {
				s.end(id)
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
	sink := s.sinks[r.Param("id")]
	s.mu.Unlock()
	s.end(r.Param("id"))
	if sink != nil {
		close(sink)
	}
	w.WriteHeader(http.StatusNoContent)
	return nil
}

func (s *Server) end(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.Remove(id)
	delete(s.sinks, id)
}

func writeToken(w io.Writer, id, model, fingerprint string, token Token) {
	finish := "null"
	if token.Last {
		finish = `"stop"`
	}
	fmt.Fprintf(w, "data: {\"id\":%q,\"object\":\"text_completion\",\"model\":%q,\"choices\":[{\"index\":0,\"text\":\"%s-%d \",\"finish_reason\":%s}]}\n\n",
		id, model, fingerprint, token.Index, finish)
}

func (s *Server) control(change func(m *Model, id string, priority int)) bunrouter.HandlerFunc {
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

func (s *Server) report(w http.ResponseWriter, _ bunrouter.Request) error {
	s.mu.Lock()
	state := s.state
	for _, stream := range s.model.Streams() {
		state.Streams = append(state.Streams, StreamInfo{ID: stream.ID, Tokens: stream.MemoryTokens()})
	}
	s.mu.Unlock()
	return json.NewEncoder(w).Encode(state)
}

func (s *Server) order(w http.ResponseWriter, r bunrouter.Request) error {
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

// Runs returns how often a prompt ran.
func (s *Server) Runs(prompt []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[Fingerprint(prompt)]
}

// Orders returns the orders received.
func (s *Server) Orders() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Order{}, s.orders...)
}

// BreakAfter makes streams break off after some tokens; 0 ends that.
func (s *Server) BreakAfter(tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = tokens
}

// RefuseStreams makes the engine refuse new streams.
func (s *Server) RefuseStreams(refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = refused
}

// SetSlowdown makes the engine slower by a factor.
func (s *Server) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.SetSlowdown(factor)
}

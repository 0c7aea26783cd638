package execution

import "time"

// Event is an input of Request.Step. The Event types are RequestStarted, Picked,
// NoTarget, OfferAnswered, OfferLost, FrameArrived, StreamBroken, CancelAnswered,
// CancelLost, DeadlinePassed, EntryStopping, CallerDisconnected and ResponseTooLarge.
type Event interface{ event() }

func (RequestStarted) event()     {}
func (Picked) event()             {}
func (NoTarget) event()           {}
func (OfferAnswered) event()      {}
func (OfferLost) event()          {}
func (FrameArrived) event()       {}
func (StreamBroken) event()       {}
func (CancelAnswered) event()     {}
func (CancelLost) event()         {}
func (DeadlinePassed) event()     {}
func (EntryStopping) event()      {}
func (CallerDisconnected) event() {}
func (ResponseTooLarge) event()   {}

type (
	// RequestStarted starts the request.
	RequestStarted struct{}
	// Picked carries the server that routing chose.
	Picked struct{ Target Target }
	// NoTarget reports that routing has no server left.
	NoTarget struct{ Refusal Refusal }
	// OfferAnswered carries the host's verdict.
	OfferAnswered struct {
		Attempt AttemptID
		Result  OfferResult
	}
	// OfferLost reports that no verdict was received. An offer runs nothing, so
	// the attempt has not run.
	OfferLost struct{ Attempt AttemptID }
	// FrameArrived carries one frame of the answer.
	FrameArrived struct{ Frame Frame }
	// StreamBroken reports that the stream broke before its last frame. Sent is
	// false if no byte of the run message left this entry.
	StreamBroken struct {
		Attempt AttemptID
		Sent    bool
	}
	// CancelAnswered carries the outcome that the host confirms.
	CancelAnswered struct {
		Attempt AttemptID
		Outcome Outcome
	}
	// CancelLost reports that no reply to the cancel was received.
	CancelLost struct{ Attempt AttemptID }
	// DeadlinePassed reports that the request's deadline has passed.
	DeadlinePassed struct{}
	// EntryStopping reports that this entry stops soon; the second one, that it
	// stops now.
	EntryStopping struct{ Refusal Refusal }
	// CallerDisconnected reports that nobody waits for the answer any more.
	CallerDisconnected struct{}
	// ResponseTooLarge reports that a response can't be collected for its caller.
	ResponseTooLarge struct{ Refusal Refusal }
)

// Action is an output of Request.Step that the adapter carries out. The Action
// types are Pick, SendOffer, OpenStream, SendCancel, Discard, Deliver and Conclude.
type Action interface{ action() }

func (Pick) action()       {}
func (SendOffer) action()  {}
func (OpenStream) action() {}
func (SendCancel) action() {}
func (Discard) action()    {}
func (Deliver) action()    {}
func (Conclude) action()   {}

type (
	// Pick asks routing for a server other than those excluded.
	Pick struct{ Exclude []string }
	// SendOffer sends the offer of an attempt.
	SendOffer struct {
		Attempt AttemptID
		Target  Target
		Expires time.Time
	}
	// OpenStream opens the attempt's stream, or resumes it from a sequence number.
	OpenStream struct {
		Attempt AttemptID
		Target  Target
		From    uint64
		// Resume is set for every OpenStream of an attempt but the first.
		Resume bool
	}
	// SendCancel cancels the attempt and asks for its outcome.
	SendCancel struct {
		Attempt AttemptID
		Target  Target
		Expires time.Time
	}
	// Discard drops the delivered part of a buffered answer.
	Discard struct{}
	// Deliver passes a frame of the answer to the caller.
	Deliver struct{ Frame Frame }
	// Conclude ends the request. It is emitted exactly once.
	Conclude struct{ Conclusion Conclusion }
)

// Conclusion is the final result of a request, as reported to its caller.
type Conclusion struct {
	Outcome Outcome
	Refusal *Refusal
	// Record is set if the result comes from the ledger's record of an earlier run.
	Record   *Record
	Attempts int
}

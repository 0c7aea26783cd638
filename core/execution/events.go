package execution

import "time"

// Event is something that happened to a request. The Event types are Begun,
// Picked, NoTarget, OfferAnswered, OfferLost, FrameArrived, StreamEnded,
// CancelAnswered, CancelLost, DeadlinePassed, EntryEnds and CallerGone.
type Event interface{ event() }

func (RequestStarted) event()          {}
func (Picked) event()         {}
func (NoTarget) event()       {}
func (OfferAnswered) event()  {}
func (OfferLost) event()      {}
func (FrameArrived) event()   {}
func (StreamBroken) event()    {}
func (CancelAnswered) event() {}
func (CancelLost) event()     {}
func (DeadlinePassed) event() {}
func (EntryStopping) event()      {}
func (CallerDisconnected) event()     {}

type (
	// RequestStarted starts the request.
	RequestStarted struct{}
	// Picked is routing's choice.
	Picked struct{ Target Target }
	// NoTarget says that routing has no server left.
	NoTarget struct{ Refusal Refusal }
	// OfferAnswered brings the host's verdict.
	OfferAnswered struct {
		Attempt AttemptID
		Result  OfferResult
	}
	// OfferLost says that no verdict came. Since an offer runs nothing, the
	// attempt has not run.
	OfferLost struct{ Attempt AttemptID }
	// FrameArrived brings one frame of the answer.
	FrameArrived struct{ Frame Frame }
	// StreamBroken says that the stream broke before its last frame. Sent is
	// false if no byte of the run message left this entry.
	StreamBroken struct {
		Attempt AttemptID
		Sent    bool
	}
	// CancelAnswered brings the outcome that the host vouches for.
	CancelAnswered struct {
		Attempt AttemptID
		Outcome Outcome
	}
	// CancelLost says that no answer to the cancel came.
	CancelLost struct{ Attempt AttemptID }
	// DeadlinePassed ends the request's time.
	DeadlinePassed struct{}
	// EntryStopping says that this entry ends soon. The second one says that it ends now.
	EntryStopping struct{ Refusal Refusal }
	// CallerDisconnected says that nobody waits for the answer any more.
	CallerDisconnected struct{}
)

// Action is something the adapter has to do. The Action types are Pick,
// SendOffer, OpenStream, SendCancel, Discard, Deliver and Conclude.
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
	// OpenStream opens the attempt's stream, or opens it again at a sequence.
	OpenStream struct {
		Attempt AttemptID
		Target  Target
		From    uint64
		// Resume is set for every opening but the first.
		Resume bool
	}
	// SendCancel cancels the attempt and waits for the outcome.
	SendCancel struct {
		Attempt AttemptID
		Target  Target
		Expires time.Time
	}
	// Discard drops what was delivered of a buffered answer.
	Discard struct{}
	// Deliver hands a piece of the answer to the caller.
	Deliver struct{ Frame Frame }
	// Conclude is the one final answer of the request.
	Conclude struct{ Conclusion Conclusion }
)

// Conclusion is what the caller is told at the end.
type Conclusion struct {
	Outcome Outcome
	Refusal *Refusal
	// Record is set when the ledger answered in place of a run.
	Record   *Record
	Attempts int
}

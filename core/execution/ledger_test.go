package execution

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var ledgerStart = time.Unix(5_000, 0)

func testLedger() *Ledger {
	options := DefaultLedgerOptions()
	options.Server, options.Incarnation, options.StartedAt = "a", "a#1", ledgerStart
	return NewLedger(options, fixedHomes{home: true})
}

func free() *Refusal { return nil }

func full() *Refusal { return &Refusal{Code: CodeQueueFull, RetryAfter: time.Second} }

func offerAt(now time.Time, attempt string, key Key) Offer {
	return Offer{Attempt: AttemptID(attempt), Request: "r", Target: "a#1", Workspace: "w", Key: key, Expires: now.Add(DefaultOfferTTL)}
}

// Each rule of the ledger refuses with its own code and verdict.
func TestLedgerRules(t *testing.T) {
	now := ledgerStart.Add(time.Hour)
	made := func(at time.Time) Key { return Key{ID: "k", Fingerprint: 1, CreatedAt: at} }
	issued := made(now)
	issued.Issued = true
	cases := []struct {
		name    string
		offer   Offer
		verdict Verdict
		code    Code
	}{
		{"no key", offerAt(now, "x", Key{}), Accepted, ""},
		{"fresh key", offerAt(now, "x", made(now)), Accepted, ""},
		{"issued key", offerAt(now, "x", issued), Accepted, ""},
		{"key from before the ledger", offerAt(ledgerStart.Add(time.Second), "x", made(ledgerStart)), RefusedUnknown, CodeKeyHomeLost},
		{"key older than the retention", offerAt(now, "x", made(now.Add(-10*time.Minute))), RefusedUnknown, CodeKeyTooOld},
		{"key from the future", offerAt(now, "x", made(now.Add(time.Minute))), Refused, CodeKeyFromFuture},
		{"expired offer", Offer{Attempt: "x", Target: "a#1", Expires: now}, Refused, CodeExpired},
		{"offer that lives too long", Offer{Attempt: "x", Target: "a#1", Expires: now.Add(time.Hour)}, Refused, CodeExpired},
		{"another incarnation", Offer{Attempt: "x", Target: "a#0", Expires: now.Add(time.Second)}, Refused, CodeWrongIncarnation},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			at := now
			if c.name == "key from before the ledger" {
				at = ledgerStart.Add(time.Second)
			}
			result := testLedger().Offer(at, c.offer, free)
			require.Equal(t, c.verdict, result.Verdict)
			if c.code != "" {
				require.Equal(t, c.code, result.Refusal.Code)
			}
		})
	}
}

// A draining server refuses every offer, including those of entries with an outdated view.
func TestLedgerDrains(t *testing.T) {
	l, now := testLedger(), ledgerStart.Add(time.Hour)
	l.Drain()
	result := l.Offer(now, offerAt(now, "x", Key{}), free)
	require.Equal(t, Refused, result.Verdict)
	require.Equal(t, CodeDraining, result.Refusal.Code)
}

// An offer is refused because the queue is full; a delayed copy of it arrives when
// there is capacity. NotRun was reported to the caller, so the copy must not run.
func TestLedgerKeepsATombstoneOfARefusal(t *testing.T) {
	l, now := testLedger(), ledgerStart.Add(time.Hour)
	require.Equal(t, Refused, l.Offer(now, offerAt(now, "x", Key{}), full).Verdict)
	require.Equal(t, Refused, l.Offer(now.Add(time.Second), offerAt(now, "x", Key{}), free).Verdict)
	outcome, refusal := l.OpenStream(now, "x", "a#1")
	require.NotNil(t, refusal)
	require.Equal(t, NotRun, outcome)
}

// A cancel overtakes its offer, or arrives between queueing and dispatch. NotRun
// was reported to the caller, so neither the late offer nor the dispatch may
// proceed.
func TestLedgerKeepsATombstoneOfACancel(t *testing.T) {
	l, now := testLedger(), ledgerStart.Add(time.Hour)
	cancel := CancelRequest{Attempt: "x", Target: "a#1", OfferExpires: now}
	require.Equal(t, NotRun, l.Cancel(now, cancel).Outcome)
	require.Equal(t, Refused, l.Offer(now, offerAt(now, "x", Key{}), free).Verdict)
	require.Equal(t, Accepted, l.Offer(now, offerAt(now, "y", Key{}), free).Verdict)
	_, refusal := l.OpenStream(now, "y", "a#1")
	require.Nil(t, refusal)
	cancel.Attempt = "y"
	require.Equal(t, NotRun, l.Cancel(now, cancel).Outcome)
	require.False(t, l.Start("y"))
	cancel.Target = "a#0"
	require.Equal(t, Unknown, l.Cancel(now, cancel).Outcome, "another incarnation knows nothing")
	cancel.Target, cancel.OfferExpires = "a#1", now.Add(-time.Hour)
	require.Equal(t, Unknown, l.Cancel(now, cancel).Outcome, "past the retention nothing is known")
}

// A key is resent with another body: the second body is refused as not run.
func TestLedgerRefusesAnotherBody(t *testing.T) {
	l, now := testLedger(), ledgerStart.Add(time.Hour)
	key := Key{ID: "k", Fingerprint: 1, CreatedAt: now}
	require.Equal(t, Accepted, l.Offer(now, offerAt(now, "x", key), free).Verdict)
	key.Fingerprint = 2
	result := l.Offer(now, offerAt(now, "y", key), free)
	require.Equal(t, Refused, result.Verdict)
	require.Equal(t, CodeKeyMismatch, result.Refusal.Code)
}

// Resends are answered from the record for the whole retention, also on a draining
// server; the record is dropped afterwards.
func TestLedgerAnswersResends(t *testing.T) {
	l, now := testLedger(), ledgerStart.Add(time.Hour)
	key := Key{ID: "k", Fingerprint: 1, CreatedAt: now}
	l.Offer(now, offerAt(now, "x", key), free)
	_, refusal := l.OpenStream(now, "x", "a#1")
	require.Nil(t, refusal)
	require.True(t, l.Start("x"))
	under := l.Offer(now, offerAt(now, "y", key), free)
	require.Equal(t, Recorded, under.Verdict)
	require.Zero(t, under.Record.Outcome)
	l.Finish(now, "x", Finished, Answer{Body: []byte("done"), Status: 200})
	l.Drain()
	again := l.Offer(now.Add(time.Minute), offerAt(now.Add(time.Minute), "z", key), free)
	require.Equal(t, Recorded, again.Verdict)
	require.Equal(t, "done", string(again.Record.Answer.Body))
	l.Tick(now.Add(12 * time.Minute))
	require.Zero(t, l.Keys())
	require.Zero(t, l.Attempts())
}

func TestFramesAreWholeAndOwn(t *testing.T) {
	writer := NewFrameWriter("r", "a")
	for _, piece := range []string{"one", "two", "three"} {
		writer.Write([]byte(piece), "text", 200)
	}
	writer.End(Finished, Refusal{})
	writer.Write([]byte("late"), "text", 200)
	frames, ended := writer.From(1)
	require.True(t, ended)
	require.Len(t, frames, 4)
	changed := func(f Frame, change func(*Frame)) Frame {
		change(&f)
		return f
	}
	cases := []struct {
		name   string
		frames []Frame
		want   FrameVerdict // of the last frame
	}{
		{"whole", frames, FrameNext},
		{"another attempt", []Frame{changed(frames[0], func(f *Frame) { f.Attempt = "b" })}, FrameForeign},
		{"another request", []Frame{changed(frames[0], func(f *Frame) { f.Request = "s" })}, FrameForeign},
		{"repeated", []Frame{frames[0], frames[0]}, FrameDuplicate},
		{"gap", []Frame{frames[0], frames[2]}, FrameCorrupt},
		{"cut short", []Frame{frames[0], changed(frames[3], func(f *Frame) { f.Sequence = 2 })}, FrameCorrupt},
		{"altered", []Frame{frames[0], changed(frames[1], func(f *Frame) { f.Payload = []byte("TWO") }), frames[2], frames[3]}, FrameCorrupt},
		{"heartbeat", []Frame{frames[0], {Request: "r", Attempt: "a"}}, FrameDuplicate},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			checker := NewFrameChecker("r", "a")
			var last FrameVerdict
			for _, frame := range c.frames {
				last = checker.Check(frame)
			}
			require.Equal(t, c.want, last)
		})
	}
}

// FuzzFrames checks that, whatever frames are lost, reordered, duplicated or
// altered, an answer counts as finished only if it has exactly the writer's bytes.
func FuzzFrames(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3}, byte(0))
	f.Add([]byte{0, 0, 2, 1, 3}, byte(7))
	f.Fuzz(func(t *testing.T, order []byte, noise byte) {
		writer := NewFrameWriter("r", "a")
		for _, piece := range []string{"one", "two", "three"} {
			writer.Write([]byte(piece), "", 0)
		}
		writer.End(Finished, Refusal{})
		frames, _ := writer.From(1)
		checker := NewFrameChecker("r", "a")
		got := ""
		for i, n := range order {
			frame := frames[int(n)%len(frames)]
			if noise > 0 && i == int(noise)%16 {
				frame.Payload = append([]byte{noise}, frame.Payload...)
			}
			if checker.Check(frame) != FrameNext {
				continue
			}
			got += string(frame.Payload)
			if frame.Last {
				require.Equal(t, "onetwothree", string(got))
				return
			}
		}
	})
}

func TestKeys(t *testing.T) {
	keys := NewKeys([]byte("secret"))
	text := keys.Issue(IssuedKey{Service: "s", Server: "a", Incarnation: "a#1", CreatedUnixMS: 1234, Nonce: "n"})
	parsed, err := keys.Parse(text)
	require.NoError(t, err)
	require.Equal(t, "a", parsed.Issued.Server)
	for name, bad := range map[string]string{"another secret's": NewKeys([]byte("other")).Issue(IssuedKey{}), "cut": text[:len(text)-3],
		"no mac": "ark1.abc", "random": "hello", "old UUID": "4b5e1c1e-3a66-4e39-8b7c-1f4c8ed3c9a1", "altered": "ark1.A" + text[6:]} {
		_, err := keys.Parse(bad)
		require.ErrorIs(t, err, ErrInvalidKey, name)
	}
	made, err := keys.Parse("01a237e5-d293-7eab-8636-93ac79049b86")
	require.NoError(t, err)
	require.Nil(t, made.Issued)
	require.Equal(t, 2026, made.CreatedAt.UTC().Year())
}

func TestRetryBudget(t *testing.T) {
	b := NewRetryBudget(0.1, 2)
	require.True(t, b.Take(ledgerStart))
	require.True(t, b.Take(ledgerStart))
	require.False(t, b.Take(ledgerStart))
	for range 11 {
		b.FirstAttempt()
	}
	require.True(t, b.Take(ledgerStart))
	require.False(t, b.Take(ledgerStart))
}

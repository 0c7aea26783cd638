// Package wire is the protocol between the daemons: the generated messages, their
// translation from and to the cores' types, the frame codec of answer streams and
// the clients. Nothing outside it handles generated types in decisions.
package wire

import (
	"time"

	"arbutusdeck/core/config"
	"arbutusdeck/core/execution"
	"arbutusdeck/core/quarantine"
	"arbutusdeck/core/routing"
	"arbutusdeck/core/scheduling"
)

var outcomesToWire = map[execution.Outcome]Outcome{
	execution.Finished: Outcome_OUTCOME_FINISHED, execution.Failed: Outcome_OUTCOME_FAILED,
	execution.NotRun: Outcome_OUTCOME_NOT_RUN, execution.Unknown: Outcome_OUTCOME_UNKNOWN,
}

// FromOutcome translates an outcome; what is not known is Unknown.
func FromOutcome(o Outcome) execution.Outcome {
	for core, wired := range outcomesToWire {
		if wired == o {
			return core
		}
	}
	return execution.Unknown
}

// ToOutcome translates an outcome.
func ToOutcome(o execution.Outcome) Outcome { return outcomesToWire[o] }

var verdictsToWire = map[execution.Verdict]Verdict{
	execution.Accepted: Verdict_VERDICT_ACCEPTED, execution.Refused: Verdict_VERDICT_REFUSED,
	execution.RefusedUnknown: Verdict_VERDICT_UNKNOWN, execution.Recorded: Verdict_VERDICT_RECORDED,
}

// ToOffer translates an offer. It returns the key's parts as sent.
func ToOffer(m *OfferRequest) execution.Offer {
	return execution.Offer{
		Attempt:   execution.AttemptID(m.Attempt),
		Request:   execution.RequestID(m.Request),
		Target:    execution.Incarnation(m.TargetIncarnation),
		Workspace: m.Workspace,
		Service:   m.Service,
		Expires:   time.UnixMilli(m.ExpiresUnixMs),
		Key: execution.Key{ID: m.Key, Issued: m.IssuedKey, Fingerprint: m.Fingerprint,
			CreatedAt: time.UnixMilli(m.KeyMadeUnixMs)},
	}
}

// ToCancel translates a cancel.
func ToCancel(m *CancelRequest) execution.CancelRequest {
	return execution.CancelRequest{Attempt: execution.AttemptID(m.Attempt), Target: execution.Incarnation(m.TargetIncarnation),
		OfferExpires: time.UnixMilli(m.OfferExpiresUnixMs), Workspace: m.Workspace, Service: m.Service, Key: execution.Key{ID: m.Key}}
}

// FromResult translates a verdict into a reply.
func FromResult(result execution.OfferResult) *OfferReply {
	reply := &OfferReply{Verdict: verdictsToWire[result.Verdict]}
	if result.Refusal != nil {
		reply.Code = string(result.Refusal.Code)
		reply.Detail = result.Refusal.Detail
		reply.RetryAfterMs = result.Refusal.RetryAfter.Milliseconds()
	}
	if record := result.Record; record != nil {
		reply.Record = &Record{Outcome: ToOutcome(record.Outcome), InProgress: record.Outcome == 0,
			AnswerKept: record.Answer.Kept, ContentType: record.Answer.ContentType,
			Status: int32(record.Answer.Status), Answer: record.Answer.Body}
	}
	return reply
}

// ToResult translates a reply. A reply without a known verdict is a refusal
// that says nothing.
func ToResult(reply *OfferReply) execution.OfferResult {
	result := execution.OfferResult{Verdict: execution.RefusedUnknown}
	for core, wired := range verdictsToWire {
		if wired == reply.Verdict {
			result.Verdict = core
		}
	}
	if result.Verdict != execution.Accepted {
		result.Refusal = &execution.Refusal{Code: execution.Code(reply.Code), Detail: reply.Detail,
			RetryAfter: time.Duration(reply.RetryAfterMs) * time.Millisecond}
	}
	if m := reply.Record; m != nil {
		result.Record = &execution.Record{Answer: execution.Answer{Kept: m.AnswerKept, ContentType: m.ContentType,
			Status: int(m.Status), Body: m.Answer}}
		if !m.InProgress {
			result.Record.Outcome = FromOutcome(m.Outcome)
		}
	}
	return result
}

// FromFrame translates a frame.
func FromFrame(f execution.Frame) *Frame {
	return &Frame{Request: string(f.Request), Attempt: string(f.Attempt), Sequence: f.Sequence, Payload: f.Payload,
		ContentType: f.ContentType, Status: int32(f.Status), Last: f.Last, Count: f.Count, Checksum: f.Checksum,
		Outcome: ToOutcome(f.Outcome), Code: string(f.Code), Detail: f.Detail, RetryAfterMs: f.RetryAfter.Milliseconds()}
}

// ToFrame translates a frame.
func ToFrame(m *Frame) execution.Frame {
	frame := execution.Frame{Request: execution.RequestID(m.Request), Attempt: execution.AttemptID(m.Attempt),
		Sequence: m.Sequence, Payload: m.Payload, ContentType: m.ContentType, Status: int(m.Status), Last: m.Last,
		Count: m.Count, Checksum: m.Checksum, Code: execution.Code(m.Code), Detail: m.Detail,
		RetryAfter: time.Duration(m.RetryAfterMs) * time.Millisecond}
	if m.Last {
		frame.Outcome = FromOutcome(m.Outcome)
	}
	return frame
}

// FromLoad translates a load report observed now.
func FromLoad(now time.Time, load scheduling.Load) *Load {
	m := &Load{PrefillTokensPerSecond: load.PrefillRate, Running: int32(load.Running), Waiting: int32(load.Waiting),
		FreeMemoryTokens: load.FreeMemory, ObservedUnixMs: now.UnixMilli(), StartDelayMs: load.StartDelay.Milliseconds()}
	for _, class := range load.Classes {
		m.Classes = append(m.Classes, &ClassLoad{LengthClass: class.Class, QueuedTokens: class.QueuedTokens, Running: int32(class.Running)})
	}
	return m
}

// ToReport converts a load report; rank returns the rank of a class name.
// The time is that of arrival: the clocks of two hosts are not compared.
func ToReport(now time.Time, m *Load, rank func(class string) int) routing.Report {
	report := routing.Report{Rate: m.PrefillTokensPerSecond, Waiting: int(m.Waiting), Running: int(m.Running), Observed: now,
		StartDelay: time.Duration(m.StartDelayMs) * time.Millisecond}
	for _, class := range m.Classes {
		report.Classes = append(report.Classes, routing.ClassTokens{Rank: rank(class.LengthClass), Tokens: class.QueuedTokens})
	}
	return report
}

// FromFiles translates a folder.
func FromFiles(files []config.File) []*File {
	var out []*File
	for _, file := range files {
		out = append(out, &File{Name: file.Name, Content: file.Content})
	}
	return out
}

// ToFiles translates a folder.
func ToFiles(files []*File) []config.File {
	var out []config.File
	for _, file := range files {
		out = append(out, config.File{Name: file.Name, Content: file.Content})
	}
	return out
}

func fromRecords(records []quarantine.Record) []*QuarantineRecord {
	var told []*QuarantineRecord
	for _, r := range records {
		told = append(told, &QuarantineRecord{Fingerprint: r.Fingerprint[:], Cleared: r.Cleared, Ended: r.Crashes, AgeMs: r.Age.Milliseconds()})
	}
	return told
}

// toRecords passes over records whose fingerprint has another length: they name no request.
func toRecords(told []*QuarantineRecord) []quarantine.Record {
	var records []quarantine.Record
	for _, m := range told {
		r := quarantine.Record{Cleared: m.Cleared, Crashes: m.Ended, Age: time.Duration(m.AgeMs) * time.Millisecond}
		if len(m.Fingerprint) == len(r.Fingerprint) {
			copy(r.Fingerprint[:], m.Fingerprint)
			records = append(records, r)
		}
	}
	return records
}

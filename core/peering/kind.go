package peering

// Kind classifies messages for metrics. It is derived from the content.
type Kind string

// Kinds of messages.
const (
	KindHeartbeat       Kind = "heartbeat"
	KindRemoteHeartbeat Kind = "farHeartbeat"
	KindList            Kind = "list"
	KindMembersRequest  Kind = "question"
	KindGreeting        Kind = "greeting"
	KindEvents          Kind = "news"
	KindUpdate          Kind = "update"
	KindRecords         Kind = "records"
	KindPlacement       Kind = "place"
)

// Kind returns the kind of the message.
func (m *Message) Kind() Kind {
	switch {
	case m.Update != nil:
		return KindUpdate
	case m.PlacementRequest != nil, m.PlacementReply != nil:
		return KindPlacement
	case len(m.Records)+len(m.PartRecords) > 0:
		return KindRecords
	case m.HasEvents():
		return KindEvents
	case m.EntryCount > 0:
		return KindRemoteHeartbeat
	case m.Digest != 0, len(m.ZoneSummaries) > 0:
		return KindHeartbeat
	case len(m.Queue) > 0:
		return KindEvents
	case len(m.Members) > 0:
		return KindList
	case m.WantsMembers:
		return KindMembersRequest
	}
	return KindGreeting
}

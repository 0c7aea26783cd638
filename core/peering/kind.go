package peering

// Kind is what a message is for. It is told from what the message holds, and serves for counting only.
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

// Kind returns what the message is for.
func (m *Message) Kind() Kind {
	switch {
	case m.Update != nil:
		return KindUpdate
	case m.PlacementRequest != nil, m.PlacementReply != nil:
		return KindPlacement
	case len(m.Records) > 0:
		return KindRecords
	case m.HasEvents():
		return KindEvents
	case m.EntryCount > 0:
		return KindRemoteHeartbeat
	case m.Digest != 0:
		return KindHeartbeat
	case len(m.Members) > 0:
		return KindList
	case m.WantsMembers:
		return KindMembersRequest
	}
	return KindGreeting
}

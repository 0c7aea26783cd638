package ratelimit

import (
	"errors"
	"math"
	"slices"
	"strings"
	"time"
)

// Statement is what a response of a server's incarnation stated, as entries tell each other.
type Statement struct {
	Server string `cbor:"1,keyasint,omitempty"`
	// Limited is set if the response stated a limit, which is PerSecond.
	Limited   bool    `cbor:"2,keyasint,omitempty"`
	PerSecond float64 `cbor:"3,keyasint,omitempty"`
	// Age is the time since the response arrived, in milliseconds.
	Age int64 `cbor:"4,keyasint,omitempty"`
}

// Errors of Check.
var (
	ErrInvalidRate = errors.New("the request limit is not a finite number that is zero or more")
	ErrInvalidAge  = errors.New("the age of a request limit is negative")
)

// Check returns an error if the statement can't be one of an entry.
func (s Statement) Check() error {
	if !(s.PerSecond >= 0) || math.IsInf(s.PerSecond, 0) {
		return ErrInvalidRate
	}
	if s.Age < 0 {
		return ErrInvalidAge
	}
	return nil
}

// Statements returns what the latest responses stated that have arrived here, in the order of the servers. Later ones
// at other entries are theirs to tell.
func (l *Limiter) Statements(now time.Time) []Statement {
	var statements []Statement
	for incarnation, known := range l.servers {
		if age := now.Sub(known.statedAt); known.own && age <= retention {
			statements = append(statements, Statement{incarnation, known.limited, known.perSecond, age.Milliseconds()})
		}
	}
	slices.SortFunc(statements, func(a, b Statement) int { return strings.Compare(a.Server, b.Server) })
	return statements
}

// Learn applies what another entry tells of a server. It returns false if that changes nothing. An older statement
// than the known one is ignored, as is one that might be older than an end of the limit that is forgotten here.
func (l *Limiter) Learn(now time.Time, statement Statement) bool {
	if statement.Age > retention.Milliseconds() {
		return false
	}
	statedAt := now.Add(-time.Duration(statement.Age) * time.Millisecond)
	known := l.servers[statement.Server]
	if known == nil && !statement.Limited || known != nil && !statedAt.After(known.statedAt) {
		return false
	}
	return l.server(statement.Server).state(now, statement, false, statedAt)
}

// Package retry decides whether a failed call is tried again, when, and where.
// It keeps no state but the shared Budget; time and randomness are arguments.
package retry

import (
	"net/http"
	"time"
)

// Kind says what an attempt failed with.
type Kind uint8

// Kinds of failure.
const (
	KindUnknown            Kind = iota
	KindStatus                  // the backend server answered with Failure.Status
	KindConnect                 // no connection: nothing was sent
	KindConnectionLost          // the connection broke or went silent
	KindTimeout                 // the attempt's own time ran out
	KindServerDied              // the backend server died during the attempt
	KindServerDown              // the sidecar cannot reach its backend server
	KindLeaving                 // the server takes no new work
	KindQueueFull               // the queue in front of the server is full
	KindShed                    // the call gave way to one of higher priority
	KindRefused                 // admission refused the call
	KindFenced                  // a newer attempt or epoch is known
	KindOtherIncarnation        // the sidecar has restarted
	KindBadAnswer               // the answer is not whole or belongs to another request
	KindStaleConfiguration      // the sidecar's configuration lease has run out
	KindQuota                   // a budget or limit of the contract is used up
	KindQuarantined             // the request is known to crash servers
	KindCancelled               // the caller has given up
)

// statusOverloaded is the status of an overloaded model engine (no RFC).
const statusOverloaded = 529

// Failure describes a failed attempt.
type Failure struct {
	Kind       Kind
	Status     int           // HTTP status, for KindStatus
	NotRun     bool          // proven: the attempt did not start and will not
	RetryAfter time.Duration // hint of the server; 0: none
	Err        error         // as the layer below gave it
}

// Class is the verdict on a failure.
type Class uint8

// Classes of failures.
const (
	ClassUnknown   Class = iota // may or may not succeed next time
	ClassTransient              // likely to succeed later or elsewhere
	ClassPermanent              // fails the same way each time
	ClassQuota                  // a limit of the customer; retrying only adds load
	ClassRefused                // overload: the caller is told when to come back
)

// Reason names a failure for counters.
type Reason string

// Reasons of failures.
const (
	ReasonUnknown            Reason = "unknown"
	ReasonOverloaded         Reason = "overloaded"
	ReasonRateLimited        Reason = "rate_limited"
	ReasonUnavailable        Reason = "unavailable"
	ReasonServerError        Reason = "server_error"
	ReasonRejected           Reason = "rejected"
	ReasonConnect            Reason = "connect"
	ReasonConnectionLost     Reason = "connection_lost"
	ReasonTimeout            Reason = "timeout"
	ReasonServerDied         Reason = "server_died"
	ReasonServerDown         Reason = "server_down"
	ReasonLeaving            Reason = "leaving"
	ReasonQueueFull          Reason = "queue_full"
	ReasonShed               Reason = "shed"
	ReasonRefused            Reason = "refused"
	ReasonFenced             Reason = "fenced"
	ReasonOtherIncarnation   Reason = "other_incarnation"
	ReasonBadAnswer          Reason = "bad_answer"
	ReasonStaleConfiguration Reason = "stale_configuration"
	ReasonQuota              Reason = "quota"
	ReasonQuarantined        Reason = "quarantined"
	ReasonCancelled          Reason = "cancelled"
)

// Classification is what Classify makes of a failure.
type Classification struct {
	Class  Class
	Reason Reason
	// ExcludeServer: the cause is the server, so the next attempt excludes it and
	// the first one need not wait.
	ExcludeServer bool
}

var kindVerdicts = map[Kind]Classification{
	KindConnect:            {ClassTransient, ReasonConnect, true},
	KindConnectionLost:     {ClassTransient, ReasonConnectionLost, true},
	KindTimeout:            {ClassTransient, ReasonTimeout, true},
	KindServerDied:         {ClassTransient, ReasonServerDied, true},
	KindServerDown:         {ClassTransient, ReasonServerDown, true},
	KindLeaving:            {ClassTransient, ReasonLeaving, true},
	KindQueueFull:          {ClassTransient, ReasonQueueFull, true},
	KindOtherIncarnation:   {ClassTransient, ReasonOtherIncarnation, false},
	KindBadAnswer:          {ClassTransient, ReasonBadAnswer, true},
	KindStaleConfiguration: {ClassTransient, ReasonStaleConfiguration, true},
	KindShed:               {ClassRefused, ReasonShed, false},
	KindRefused:            {ClassRefused, ReasonRefused, false},
	KindFenced:             {ClassPermanent, ReasonFenced, false},
	KindCancelled:          {ClassPermanent, ReasonCancelled, false},
	KindQuarantined:        {ClassPermanent, ReasonQuarantined, false},
	KindQuota:              {ClassQuota, ReasonQuota, false},
}

// Classify returns the verdict on a failure.
func Classify(f Failure) Classification {
	if f.Kind == KindStatus {
		return classifyStatus(f.Status)
	}
	if v, ok := kindVerdicts[f.Kind]; ok {
		return v
	}
	return Classification{ClassUnknown, ReasonUnknown, false}
}

func classifyStatus(status int) Classification {
	switch status {
	case statusOverloaded:
		return Classification{ClassTransient, ReasonOverloaded, false}
	case http.StatusTooManyRequests:
		return Classification{ClassTransient, ReasonRateLimited, false}
	case http.StatusServiceUnavailable, http.StatusBadGateway, http.StatusGatewayTimeout:
		return Classification{ClassTransient, ReasonUnavailable, true}
	case http.StatusRequestTimeout:
		return Classification{ClassTransient, ReasonTimeout, false}
	case http.StatusConflict:
		return Classification{ClassPermanent, ReasonFenced, false}
	case http.StatusPaymentRequired:
		return Classification{ClassQuota, ReasonQuota, false}
	}
	if status >= http.StatusBadRequest && status < http.StatusInternalServerError {
		return Classification{ClassPermanent, ReasonRejected, false}
	}
	if status >= http.StatusInternalServerError {
		return Classification{ClassUnknown, ReasonServerError, false}
	}
	return Classification{ClassUnknown, ReasonUnknown, false}
}

// Package retry decides whether, when and where a failed call is retried. It keeps no
// state apart from the shared Budget; time and randomness are arguments.
package retry

import (
	"net/http"
	"time"
)

// Kind says how an attempt failed.
type Kind uint8

// Kinds of failure.
const (
	KindUnknown            Kind = iota
	KindStatus                  // the backend server responded with Failure.Status
	KindConnect                 // the connection failed: nothing was sent
	KindConnectionLost          // the connection was lost or idle for too long
	KindTimeout                 // the timeout of the attempt expired
	KindServerDied              // the backend server crashed during the attempt
	KindServerDown              // the sidecar cannot reach its backend server
	KindLeaving                 // the server is leaving and accepts no new work
	KindQueueFull               // the queue of the server is full
	KindShed                    // the call was shed from the queue for one of higher priority
	KindRefused                 // admission control refused the call
	KindFenced                  // a newer attempt or epoch is known
	KindOtherIncarnation        // the sidecar has restarted
	KindBadAnswer               // the response is incomplete or belongs to another request
	KindStaleConfiguration      // the sidecar's configuration lease has expired
	KindQuota                   // a budget or limit of the contract is exhausted
	KindQuarantined             // the request is known to crash servers
	KindCancelled               // the caller cancelled the call
)

// statusOverloaded is a non-standard HTTP status that overloaded model engines send.
const statusOverloaded = 529

// Failure describes a failed attempt.
type Failure struct {
	Kind       Kind
	Status     int           // HTTP status, for KindStatus
	NotRun     bool          // the attempt certainly has not started and will not
	RetryAfter time.Duration // hint of the server; 0 means none
	Err        error         // error of the layer below, unchanged
}

// Class says whether a retry can be expected to succeed.
type Class uint8

// Classes of failures.
const (
	ClassUnknown   Class = iota // a retry may or may not succeed
	ClassTransient              // a retry is likely to succeed later or on another server
	ClassPermanent              // a retry would fail in the same way
	ClassQuota                  // a limit of the customer is reached: a retry would only add load
	ClassRefused                // refused for overload: the caller is told when to retry
)

// Reason names the cause of a failure. Metrics use it as a label value.
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

// Classification is the result of Classify.
type Classification struct {
	Class  Class
	Reason Reason
	// ExcludeServer is set if the server caused the failure: later attempts
	// exclude that server, and the first retry starts without delay.
	ExcludeServer bool
}

// kindClassifications holds the classification of every kind except KindUnknown and
// KindStatus.
var kindClassifications = map[Kind]Classification{
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

// Classify returns the class and the reason of a failure. A failure of an unknown
// kind has ClassUnknown.
func Classify(f Failure) Classification {
	if f.Kind == KindStatus {
		return classifyStatus(f.Status)
	}
	if c, ok := kindClassifications[f.Kind]; ok {
		return c
	}
	return Classification{ClassUnknown, ReasonUnknown, false}
}

// classifyStatus classifies a response by its HTTP status.
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

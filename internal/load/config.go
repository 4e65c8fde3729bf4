package load

import (
	"errors"
	"fmt"
	"maps"
	"time"
)

// Config configures a run. Programs start at a given mean rate, whether or not
// earlier ones have finished.
type Config struct {
	BaseURLs    []string        // base URLs of the entries
	Customers   []Customer      // at least one
	Models      map[Kind]string // model by kind; default: those of the example contracts
	Rate        float64         // programs started per second, over all customers
	Duration    time.Duration   // period in which programs start
	Drain       time.Duration   // time after Duration for running programs to finish; default 60 s
	PauseScale  float64         // factor applied to pauses of tools and people; 0: no pauses
	MaxPrograms int             // limit of programs in flight; more are skipped; default 10000
	IdleTimeout time.Duration   // longest time without data within a request; default 15 s
	Seed        uint64          // equal seeds give equal programs and start times
	RunID       string          // prefix of program names; must be unique to the run
	Observer    Observer        // called for each answer; may be nil
}

// Customer is a customer for which programs run.
type Customer struct {
	Key   string // customer key
	Kinds []Kind // kinds of its programs, chosen uniformly at random; empty: all
}

// defaultModels holds the models of the example contracts by program kind.
var defaultModels = map[Kind]string{
	KindDiagnosis: "diagnosis-70b",
	KindQuote:     "quote-70b",
	KindShipping:  "shipping-agent-70b",
	KindBerthPlan: "berth-plan-70b",
}

const (
	defaultDrainTimeout = time.Minute
	defaultMaxPrograms  = 10_000
)

// validate sets defaults and returns an error for an invalid setting.
func (c *Config) validate() error {
	switch {
	case len(c.Customers) == 0:
		return errors.New("load: the configuration has no customer")
	case c.Rate <= 0:
		return fmt.Errorf("load: rate %g is not positive", c.Rate)
	case c.Duration <= 0:
		return fmt.Errorf("load: duration %s is not positive", c.Duration)
	case c.PauseScale < 0:
		return fmt.Errorf("load: pause scale %g is negative", c.PauseScale)
	case c.RunID == "":
		return errors.New("load: the run ID is empty")
	}
	if err := c.fillDefaultModels(); err != nil {
		return err
	}
	if c.Drain <= 0 {
		c.Drain = defaultDrainTimeout
	}
	if c.MaxPrograms <= 0 {
		c.MaxPrograms = defaultMaxPrograms
	}
	return nil
}

// fillDefaultModels adds the default model of each kind without one. It returns
// an error for an unknown kind.
func (c *Config) fillDefaultModels() error {
	models := maps.Clone(defaultModels)
	for kind, model := range c.Models {
		if models[kind] == "" {
			return fmt.Errorf("load: unknown kind %q of programs; use one of %v", kind, Kinds())
		}
		models[kind] = model
	}
	c.Models = models
	return nil
}

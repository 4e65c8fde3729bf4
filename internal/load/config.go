package load

import (
	"errors"
	"fmt"
	"maps"
	"time"
)

// Config configures a run. Programs start at a fixed rate whether or not
// earlier ones have finished.
type Config struct {
	BaseURLs    []string        // base URLs of the system's HTTP front
	Customers   []Customer      // at least one
	Models      map[Kind]string // model by kind; default: those of the example contracts
	Rate        float64         // programs started a second, over all customers
	Duration    time.Duration   // time in which programs start
	Drain       time.Duration   // time after it in which they may finish; default 60 s
	PauseScale  float64         // factor on tool pauses; 0: none
	MaxPrograms int             // programs in flight above which a start is skipped and counted; default 10000
	IdleTimeout time.Duration   // of one exchange; default 15 s
	Seed        uint64          // equal seeds give equal programs and start times
	RunID       string          // prefix of program names; must be new for each run
	Observer    Observer        // may be nil
}

// Customer is a customer whose programs are replayed.
type Customer struct {
	Key   string // customer key
	Kinds []Kind // kinds of its programs, chosen with equal probability; empty: all
}

// defaultModels are the models of the example contracts.
var defaultModels = map[Kind]string{
	KindDiagnosis: "diagnosis-70b",
	KindQuote:     "quote-70b",
	KindShipping:  "shipping-agent-70b",
	KindBerthPlan: "berth-plan-70b",
}

const (
	defaultDrain       = time.Minute
	defaultMaxPrograms = 10_000
)

// check fills in defaults and returns an error for a setting that is wrong.
func (c *Config) check() error {
	switch {
	case len(c.Customers) == 0:
		return errors.New("load: no customer")
	case c.Rate <= 0:
		return fmt.Errorf("load: rate %g is not positive", c.Rate)
	case c.Duration <= 0:
		return fmt.Errorf("load: duration %s is not positive", c.Duration)
	case c.PauseScale < 0:
		return fmt.Errorf("load: pause scale %g is negative", c.PauseScale)
	case c.RunID == "":
		return errors.New("load: no run ID")
	}
	if err := c.fillModels(); err != nil {
		return err
	}
	if c.Drain <= 0 {
		c.Drain = defaultDrain
	}
	if c.MaxPrograms <= 0 {
		c.MaxPrograms = defaultMaxPrograms
	}
	return nil
}

// fillModels adds the default models of the kinds that name none.
func (c *Config) fillModels() error {
	models := maps.Clone(defaultModels)
	for kind, model := range c.Models {
		if models[kind] == "" {
			return fmt.Errorf("load: unknown kind %q; use %v", kind, Kinds())
		}
		models[kind] = model
	}
	c.Models = models
	return nil
}

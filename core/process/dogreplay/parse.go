package dogreplay

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// ErrTrace is wrapped by all errors that Parse returns.
var ErrTrace = eris.New("invalid trace")

// Upper bounds on the values in a trace, so that a mistyped number is reported
// instead of exhausting memory or processor time.
const (
	maxWorkers = 1000      // Per service.
	maxSlots   = 100_000   // Per worker.
	maxRate    = 1_000_000 // Requests per second.
	maxTime    = 24 * time.Hour
	maxFactor  = 1000
	maxDepth   = 8 // Depth of call trees at the size expected in two years.
	maxCalls   = 64
)

// parser is the state of Parse: the trace so far and the current line number.
type parser struct {
	t    *Trace
	line int
}

// Parse parses the text of a trace. Errors wrap ErrTrace and start with the name
// of the trace and the line number.
func Parse(name, text string) (*Trace, error) {
	p := &parser{t: &Trace{
		name:    name,
		local:   100 * time.Microsecond,
		clients: clients{backoff: 200 * time.Millisecond, resendPercent: 10, resendBurst: 20},
	}}
	for i, line := range strings.Split(text, "\n") {
		p.line = i + 1
		line, _, _ = strings.Cut(line, "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		if err := p.directive(words[0], words[1:]); err != nil {
			return nil, fmt.Errorf("%s:%d: %s: %w", name, p.line, words[0], err)
		}
	}
	if err := p.validate(); err != nil {
		return nil, fmt.Errorf("%s:%d: %w", name, p.line, err)
	}
	return p.t, nil
}

// errorf returns an error that wraps ErrTrace.
func errorf(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrTrace, fmt.Sprintf(format, args...))
}

func (p *parser) directive(word string, args []string) error {
	switch word {
	case "run":
		return p.run(args)
	case "data-centres":
		return p.dataCentres(args)
	case "delay":
		return p.delay(args)
	case "service":
		return p.service(args)
	case "class":
		return p.class(args)
	case "tree":
		return p.tree(args)
	case "rate":
		return p.rate(args)
	case "clients":
		return p.clients(args)
	case "at":
		return p.fault(args)
	case "expect":
		return p.expect(args)
	}
	return errorf("unknown directive")
}

func (p *parser) run(args []string) error {
	if len(args) != 1 {
		return errorf("want: run LENGTH")
	}
	d, err := duration(args[0])
	if err == nil && d < time.Second {
		err = errorf("length is below 1s")
	}
	p.t.length = d
	return err
}

func (p *parser) dataCentres(args []string) error {
	if len(args) == 0 || len(p.t.services) > 0 {
		return errorf("want: data-centres NAME..., before the services")
	}
	for i, a := range args {
		if slices.Contains(args[:i], a) {
			return errorf("%q is named twice", a)
		}
	}
	p.t.dataCentres = args
	return nil
}

func (p *parser) delay(args []string) error {
	for key, value := range pairs(args) {
		d, err := duration(value)
		if err != nil {
			return err
		}
		switch key {
		case "between":
			p.t.between = d
		case "local":
			p.t.local = d
		case "client":
			p.t.client = d
		default:
			return errorf("unknown key %q", key)
		}
	}
	return checkPairs(args)
}

func (p *parser) service(args []string) error {
	if len(args) == 0 || len(p.t.dataCentres) == 0 {
		return errorf("want: service NAME KEY VALUE..., after the data centres")
	}
	if p.serviceIndex(args[0]) >= 0 {
		return errorf("%q is named twice", args[0])
	}
	s := service{name: args[0], coldFactor: 1}
	for key, value := range pairs(args[1:]) {
		var err error
		switch key {
		case "workers":
			s.workers, err = integer(value, 1, maxWorkers)
		case "slots":
			s.slots, err = integer(value, 1, maxSlots)
		case "announced":
			s.announced, err = integer(value, 1, maxSlots)
		case "time":
			s.mean, err = duration(value)
		case "spread":
			s.spread, err = number(value, 0, 10)
		case "cold":
			s.cold, err = duration(value)
		case "cold-factor":
			s.coldFactor, err = number(value, 1, maxFactor)
		default:
			err = errorf("unknown key %q", key)
		}
		if err != nil {
			return err
		}
	}
	if s.workers == 0 || s.slots == 0 || s.mean == 0 {
		return errorf("service %q needs workers, slots and time", s.name)
	}
	if s.announced == 0 {
		s.announced = s.slots
	}
	p.t.services = append(p.t.services, s)
	return checkPairs(args[1:])
}

func (p *parser) class(args []string) error {
	if len(args) == 0 {
		return errorf("want: class NAME KEY VALUE...")
	}
	if p.classIndex(args[0]) >= 0 {
		return errorf("%q is named twice", args[0])
	}
	c := class{name: args[0], line: p.line, deadline: 2 * time.Second}
	for key, value := range pairs(args[1:]) {
		var err error
		switch key {
		case "importance":
			c.importance, err = integer(value, 0, 7)
		case "deadline":
			c.deadline, err = duration(value)
		case "retries":
			c.retries, err = integer(value, 0, 100)
		case "idempotent":
			c.idempotent, err = yesNo(value)
		case "contents":
			c.contents, err = integer(value, 1, 1_000_000)
		default:
			err = errorf("unknown key %q", key)
		}
		if err != nil {
			return err
		}
	}
	if c.deadline == 0 {
		return errorf("deadline is zero")
	}
	p.t.classes = append(p.t.classes, c)
	return checkPairs(args[1:])
}

func (p *parser) rate(args []string) error {
	if len(args) != 3 {
		return errorf("want: rate CLASS FROM REQUESTS-PER-SECOND")
	}
	c := p.classIndex(args[0])
	if c < 0 {
		return errorf("unknown class %q", args[0])
	}
	from, err := duration(args[1])
	if err != nil {
		return err
	}
	r, err := number(args[2], 0, maxRate)
	if err != nil {
		return err
	}
	rates := &p.t.classes[c].rates
	if n := len(*rates); n > 0 && (*rates)[n-1].from >= from {
		return errorf("times of class %q are not increasing", args[0])
	}
	*rates = append(*rates, rateStep{from: from, perSec: r})
	return nil
}

func (p *parser) clients(args []string) error {
	c := &p.t.clients
	for key, value := range pairs(args) {
		var err error
		switch key {
		case "resends":
			c.resends, err = integer(value, 0, 100)
		case "backoff":
			c.backoff, err = duration(value)
		case "honour-retry-after":
			c.honourRetryAfter, err = yesNo(value)
		case "resend-percent":
			c.resendPercent, err = number(value, 0, 100)
		case "resend-burst":
			c.resendBurst, err = number(value, 0, maxRate)
		default:
			err = errorf("unknown key %q", key)
		}
		if err != nil {
			return err
		}
	}
	return checkPairs(args)
}

// validate checks the conditions that depend on the whole file. It sets p.line to
// the line to report.
func (p *parser) validate() error {
	t := p.t
	if t.length == 0 || len(t.services) == 0 || len(t.classes) == 0 {
		return errorf("missing run, service or class")
	}
	for _, c := range t.classes {
		if c.tree == nil || len(c.rates) == 0 {
			p.line = c.line
			return errorf("class %q needs a tree and a rate", c.name)
		}
	}
	for _, e := range t.expectations {
		if e.from >= t.length || e.to > t.length {
			p.line = e.line
			return errorf("the window ends after the run")
		}
	}
	return nil
}

func (p *parser) serviceIndex(name string) int {
	return slices.IndexFunc(p.t.services, func(s service) bool { return s.name == name })
}

func (p *parser) classIndex(name string) int {
	return slices.IndexFunc(p.t.classes, func(c class) bool { return c.name == name })
}

// pairs yields the keys in args with their values. It ignores a last key without
// a value, which checkPairs reports.
func pairs(args []string) func(func(string, string) bool) {
	return func(yield func(string, string) bool) {
		for i := 0; i+1 < len(args); i += 2 {
			if !yield(args[i], args[i+1]) {
				return
			}
		}
	}
}

// checkPairs returns an error if the last key in args has no value.
func checkPairs(args []string) error {
	if len(args)%2 == 1 {
		return errorf("%q has no value", args[len(args)-1])
	}
	return nil
}

func duration(s string) (time.Duration, error) {
	d, err := time.ParseDuration(s)
	if err != nil || d < 0 || d > maxTime {
		return 0, errorf("%q is not a duration between 0 and %v", s, maxTime)
	}
	return d, nil
}

func integer(s string, low, high int) (int, error) {
	n, err := strconv.Atoi(s)
	if err != nil || n < low || n > high {
		return 0, errorf("%q is not an integer between %d and %d", s, low, high)
	}
	return n, nil
}

func number(s string, low, high float64) (float64, error) {
	x, err := strconv.ParseFloat(s, 64)
	// The negated condition also rejects NaN.
	if err != nil || !(x >= low && x <= high) {
		return 0, errorf("%q is not a number between %v and %v", s, low, high)
	}
	return x, nil
}

func yesNo(s string) (bool, error) {
	if s != "yes" && s != "no" {
		return false, errorf("%q is neither yes nor no", s)
	}
	return s == "yes", nil
}

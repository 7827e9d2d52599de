package dogreplay

import (
	"slices"
	"strings"
	"time"
)

// tree parses the call tree of a class, "CLASS SERVICE(CHILD CHILD(...))".
func (p *parser) tree(args []string) error {
	if len(args) < 2 {
		return errorf("want: tree CLASS SERVICE(CHILD...)")
	}
	c := p.classIndex(args[0])
	if c < 0 {
		return errorf("unknown class %q", args[0])
	}
	text := strings.Join(args[1:], " ")
	text = strings.NewReplacer("(", " ( ", ")", " ) ").Replace(text)
	words := strings.Fields(text)
	if len(words) > 3*maxCalls {
		return errorf("more than %d calls", maxCalls)
	}
	root, rest, err := p.callTree(words, 1)
	if err != nil {
		return err
	}
	if len(rest) > 0 {
		return errorf("unexpected %q after the tree", rest[0])
	}
	p.t.classes[c].tree = root
	return nil
}

func (p *parser) callTree(words []string, depth int) (*callTree, []string, error) {
	if depth > maxDepth {
		return nil, nil, errorf("the tree is more than %d calls deep", maxDepth)
	}
	s := p.serviceIndex(words[0])
	if s < 0 {
		return nil, nil, errorf("unknown service %q", words[0])
	}
	c := &callTree{service: s}
	words = words[1:]
	if len(words) == 0 || words[0] != "(" {
		return c, words, nil
	}
	words = words[1:]
	for len(words) > 0 && words[0] != ")" {
		child, rest, err := p.callTree(words, depth+1)
		if err != nil {
			return nil, nil, err
		}
		c.children = append(c.children, child)
		words = rest
	}
	if len(words) == 0 {
		return nil, nil, errorf("missing )")
	}
	return c, words[1:], nil
}

// fault parses the arguments of "at TIME KIND ... for LENGTH".
func (p *parser) fault(args []string) error {
	n := len(args)
	if n < 4 || args[n-2] != "for" {
		return errorf("want: at TIME FAULT for LENGTH")
	}
	f := fault{class: -1}
	var err error
	if f.at, err = duration(args[0]); err != nil {
		return err
	}
	if f.length, err = duration(args[n-1]); err != nil {
		return err
	}
	kind, rest := args[1], args[2:n-2]
	switch kind {
	case "slow":
		err = p.slow(&f, rest)
	case "surge":
		err = p.surge(&f, rest)
	case "cut":
		err = p.cut(&f, rest)
	case "drain", "crash":
		err = p.drainOrCrash(&f, kind, rest)
	case "platform-down":
		f.kind = platformDown
		if len(rest) > 0 {
			err = errorf("platform-down takes no arguments")
		}
	default:
		err = errorf("unknown fault %q", kind)
	}
	p.t.faults = append(p.t.faults, f)
	return err
}

func (p *parser) slow(f *fault, args []string) error {
	f.kind = slowService
	if len(args) != 2 {
		return errorf("want: slow SERVICE xFACTOR")
	}
	if f.service = p.serviceIndex(args[0]); f.service < 0 {
		return errorf("unknown service %q", args[0])
	}
	return factor(&f.factor, args[1])
}

func (p *parser) surge(f *fault, args []string) error {
	f.kind = surge
	if len(args) != 1 && len(args) != 2 {
		return errorf("want: surge xFACTOR [CLASS]")
	}
	if len(args) == 2 {
		if f.class = p.classIndex(args[1]); f.class < 0 {
			return errorf("unknown class %q", args[1])
		}
	}
	return factor(&f.factor, args[0])
}

func (p *parser) cut(f *fault, args []string) error {
	f.kind = cutDataCentre
	if len(args) != 1 {
		return errorf("want: cut DATA-CENTRE")
	}
	if f.dataCentre = slices.Index(p.t.dataCentres, args[0]); f.dataCentre < 0 {
		return errorf("unknown data centre %q", args[0])
	}
	return nil
}

func (p *parser) drainOrCrash(f *fault, kind string, args []string) error {
	if len(args) != 2 {
		return errorf("want: drain SERVICE half|COUNT, or crash SERVICE WORKER")
	}
	if f.service = p.serviceIndex(args[0]); f.service < 0 {
		return errorf("unknown service %q", args[0])
	}
	workers := p.t.services[f.service].workers
	var err error
	switch {
	case kind == "crash":
		f.kind = crashWorker
		f.workers, err = integer(args[1], 0, workers-1)
	case args[1] == "half":
		f.kind, f.workers = drainWorkers, (workers+1)/2
	default:
		f.kind = drainWorkers
		f.workers, err = integer(args[1], 1, workers)
	}
	return err
}

func factor(into *float64, s string) error {
	x, ok := strings.CutPrefix(s, "x")
	if !ok {
		return errorf("%q does not start with x", s)
	}
	var err error
	*into, err = number(x, 0.001, maxFactor)
	return err
}

// expect parses the arguments of the two forms
//
//	expect POLICY goodput all|CLASS >=|< PERCENT% of possible|demand from TIME to TIME
//	expect POLICY recovery <=|> TIME after TIME
func (p *parser) expect(args []string) error {
	e := expectation{text: strings.Join(args, " "), line: p.line, class: -1}
	if len(args) < 2 {
		return errorf("want: expect POLICY goodput|recovery ...")
	}
	var err error
	if e.policy, err = ParsePolicy(args[0]); err != nil {
		return err
	}
	switch args[1] {
	case "goodput":
		err = p.expectGoodput(&e, args[2:])
	case "recovery":
		err = expectRecovery(&e, args[2:])
	default:
		err = errorf("unknown measure %q", args[1])
	}
	p.t.expectations = append(p.t.expectations, e)
	return err
}

func (p *parser) expectGoodput(e *expectation, a []string) error {
	if len(a) != 9 || a[3] != "of" || a[5] != "from" || a[7] != "to" {
		return errorf("want: goodput all|CLASS >=|< PERCENT%% of possible|demand from TIME to TIME")
	}
	if a[0] != "all" {
		if e.class = p.classIndex(a[0]); e.class < 0 {
			return errorf("unknown class %q", a[0])
		}
	}
	if a[1] != ">=" && a[1] != "<" {
		return errorf("%q is neither >= nor <", a[1])
	}
	e.below = a[1] == "<"
	percent, ok := strings.CutSuffix(a[2], "%")
	if !ok {
		return errorf("%q does not end with %%", a[2])
	}
	var err error
	if e.percent, err = number(percent, 0, 100); err != nil {
		return err
	}
	if a[4] != "possible" && a[4] != "demand" {
		return errorf("%q is neither possible nor demand", a[4])
	}
	e.ofDemand = a[4] == "demand"
	if e.from, err = duration(a[6]); err != nil {
		return err
	}
	if e.to, err = duration(a[8]); err != nil {
		return err
	}
	if e.to < e.from+time.Second {
		return errorf("the window is shorter than 1s")
	}
	return nil
}

func expectRecovery(e *expectation, a []string) error {
	if len(a) != 4 || a[0] != "<=" && a[0] != ">" || a[2] != "after" {
		return errorf("want: recovery <=|> TIME after TIME")
	}
	e.recovery, e.below = true, a[0] == ">"
	var err error
	if e.within, err = duration(a[1]); err != nil {
		return err
	}
	e.from, err = duration(a[3])
	return err
}

package dogcontract

import (
	"sort"
	"strings"
)

type indexKey struct{ service, method string }

// prefixes holds the classes of one service and method, sorted by path.
type prefixes struct {
	paths   []string
	classes []*Class
	// parents holds the position of the longest path that is a proper prefix
	// of each path; -1 if there is none.
	parents []int
}

// Match returns the class of a request: among the classes of the service and
// method, the one with the longest path that is a prefix of path. The path is
// the decoded path after the service and starts with a slash.
//
// A path with empty, "." or ".." segments matches no class: the target might
// resolve it to another path, with a class that is not idempotent.
func (c *Contract) Match(service, method, path string) (*Class, bool) {
	if !canonical(path) {
		return nil, false
	}
	p, ok := c.index[indexKey{service, method}]
	if !ok {
		return nil, false
	}
	// The longest prefix of path is the last entry not after path, or one of
	// the prefixes of that entry.
	i := sort.Search(len(p.paths), func(i int) bool { return p.paths[i] > path }) - 1
	for ; i >= 0; i = p.parents[i] {
		if strings.HasPrefix(path, p.paths[i]) {
			return p.classes[i], true
		}
	}
	return nil, false
}

// canonical reports whether path starts with a slash and has no empty, "." or
// ".." segment. A slash at the end is allowed.
func canonical(path string) bool {
	if path == "" || path[0] != '/' {
		return false
	}
	for rest := path[1:]; rest != ""; {
		segment, after, more := strings.Cut(rest, "/")
		if segment == "" || segment == "." || segment == ".." {
			return false
		}
		if !more {
			break
		}
		rest = after
	}
	return true
}

// buildIndex fills the index from the classes.
func (c *Contract) buildIndex() {
	c.index = make(map[indexKey]prefixes)
	for i := range c.classes {
		for _, m := range c.classes[i].methods {
			k := indexKey{c.classes[i].service, m}
			p := c.index[k]
			p.classes = append(p.classes, &c.classes[i])
			c.index[k] = p
		}
	}
	for k, p := range c.index {
		sort.Slice(p.classes, func(i, j int) bool { return p.classes[i].path < p.classes[j].path })
		for i, class := range p.classes {
			p.paths = append(p.paths, class.path)
			parent := i - 1
			for parent >= 0 && !strings.HasPrefix(class.path, p.paths[parent]) {
				parent = p.parents[parent]
			}
			p.parents = append(p.parents, parent)
		}
		c.index[k] = p
	}
}

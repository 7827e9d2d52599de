package dogcontract

import (
	"sort"
	"strings"
)

type indexKey struct{ service, method string }

// prefixIndex holds the classes of one service and method, sorted by path.
type prefixIndex struct {
	paths   []string
	classes []*Class
	// parents holds, for each path, the index of the longest other path that
	// is a prefix of it, or -1 if there is none.
	parents []int
}

// Match returns the class of a request: among the classes of the service and
// method, the one with the longest path that is a prefix of path. path is the
// decoded path without the service and starts with a slash.
//
// A path with empty, "." or ".." segments matches no class, because the target
// might resolve it to another path whose class is not idempotent.
func (c *Contract) Match(service, method, path string) (*Class, bool) {
	if !canonical(path) {
		return nil, false
	}
	p, ok := c.index[indexKey{service, method}]
	if !ok {
		return nil, false
	}
	// The longest prefix of path is the last entry that does not sort after
	// path, or one of the prefixes of that entry.
	i := sort.Search(len(p.paths), func(i int) bool { return p.paths[i] > path }) - 1
	for ; i >= 0; i = p.parents[i] {
		if strings.HasPrefix(path, p.paths[i]) {
			return p.classes[i], true
		}
	}
	return nil, false
}

// canonical reports whether path starts with a slash and has no empty, "." or
// ".." segment. A trailing slash is allowed.
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

// buildIndex builds the index that Match uses.
func (c *Contract) buildIndex() {
	c.index = make(map[indexKey]prefixIndex)
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

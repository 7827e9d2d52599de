package dogquota

import "time"

// lotSpacing is the least time between the expiries of two lots, which bounds their
// number.
const lotSpacing = 100 * time.Millisecond

// lot is a number of tokens that expire together.
type lot struct {
	n      int
	expiry time.Time
}

// lots holds tokens by their expiry, the earliest first.
type lots []lot

// add adds n tokens. Tokens that would expire less than lotSpacing after the last lot
// expire with it.
func (l *lots) add(n int, expiry time.Time) {
	if n <= 0 {
		return
	}
	if k := len(*l); k > 0 && expiry.Sub((*l)[k-1].expiry) < lotSpacing {
		(*l)[k-1].n += n
		return
	}
	*l = append(*l, lot{n, expiry})
}

// expire removes the tokens that have expired and returns the number of the rest.
func (l *lots) expire(now time.Time) int {
	k, n := 0, 0
	for _, x := range *l {
		if now.Before(x.expiry) {
			(*l)[k] = x
			k++
			n += x.n
		}
	}
	*l = (*l)[:k]
	return n
}

// take removes a token and reports whether there was one.
func (l *lots) take(now time.Time) bool {
	if l.expire(now) == 0 {
		return false
	}
	(*l)[0].n--
	if (*l)[0].n == 0 {
		*l = append((*l)[:0], (*l)[1:]...)
	}
	return true
}

// recentCount counts events of about the last second.
type recentCount struct {
	since             time.Time // Start of current.
	current, previous int
}

const recentPeriod = time.Second

func (c *recentCount) roll(now time.Time) {
	switch age := now.Sub(c.since); {
	case age < recentPeriod:
	case age < 2*recentPeriod:
		c.previous, c.current = c.current, 0
		c.since = c.since.Add(recentPeriod)
	default:
		c.previous, c.current = 0, 0
		c.since = now
	}
}

func (c *recentCount) add(now time.Time) {
	c.roll(now)
	c.current++
}

// value returns the number of events in the last second, where those of the previous
// period count by the part of it that is not yet a second ago.
func (c *recentCount) value(now time.Time) int {
	c.roll(now)
	rest := 1 - now.Sub(c.since).Seconds()/recentPeriod.Seconds()
	return c.current + int(rest*float64(c.previous))
}

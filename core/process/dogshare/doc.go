// Package dogshare ranks the requests of workspaces so that those who compete for too
// little room get max-min fair shares of it.
//
// A target or service that is short of room refuses the requests below a cutoff, and serves
// the higher ranks of one importance first. If ranks are drawn at random, a workspace that
// sends six times its usual load gets six times its usual share, at the cost of all others.
// Shares draws ranks by workspace instead: whatever the cutoff is, each workspace gets what
// it asks for, or a share of the room in proportion to its weight, whichever is less, and
// what one does not use goes to the others.
//
// The weight of a workspace is the rate of its quota. Those without a quota have the mean
// weight of the others. Demand is counted by importance, as only requests of the same
// importance compete, and decays over some seconds. A node sees few requests of a small
// workspace, so that its demand is estimated from its weight as well as from the count.
//
// # Usage
//
//	s := dogshare.New()
//	s.SetWeights([]dogshare.Weight{{Name: "north", Weight: 100}, {Name: "south"}})
//	// For each request of a caller, in any order of names:
//	rank := s.Rank(now, "north", importance, dogwoodford.RootFraction(id))
//
// Shares starts no timers and takes the time as an argument. It is not safe for concurrent
// use.
package dogshare

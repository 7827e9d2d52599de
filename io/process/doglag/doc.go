// Package doglag measures how late a process gets to work that is due.
//
// A process that has less processor time than it needs reads requests late, and cannot
// see from the requests themselves how long they have waited. A Monitor sets a timer
// again and again and compares the time at which it runs with the time for which it was
// set. Besides, it asks the runtime how long goroutines waited for a processor.
//
// # Usage
//
//	m := doglag.New(func(lag time.Duration) { metrics.Observe(dogmetric.SchedulingLag, lag) })
//	sup.Add(m)
//	lag := m.Lag()
package doglag

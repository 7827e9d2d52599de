// Package dogserve holds the supervised parts that the kinds of nodes share:
// listeners with their handlers, and plain functions.
//
// # Usage
//
//	s := dogserve.New("entry", "10.1.0.8:8304", &http.Server{Handler: h})
//	if err := s.Listen(); err != nil {
//		// The address is taken.
//	}
//	sup.Add(s)
//	sup.Add(dogserve.Func("expire", expire))
package dogserve

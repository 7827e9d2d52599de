// Package dogserve provides suture services that several kinds of nodes use: HTTP
// servers with graceful shutdown, and plain functions.
//
// # Usage
//
//	s := dogserve.New("entry", "10.1.0.8:8304", &http.Server{Handler: h})
//	if err := s.Listen(); err != nil {
//		// The address is in use.
//	}
//	sup.Add(s)
//	sup.Add(dogserve.Func("expire", expire))
package dogserve

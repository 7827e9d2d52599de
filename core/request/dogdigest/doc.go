// Package dogdigest computes the content digest of a request: a hash of
// customer, service, method, path and the first 64 KiB of the body. Requests
// with equal digests count as the same content when targets crash.
//
// # Usage
//
//	d := dogdigest.New(customer, service, method, path)
//	d.Write(chunk)
//	sum := d.Sum64()
//
// The digest does not cover headers, the query beyond what the caller passes
// as path, or the rest of the body.
package dogdigest

// Package peerpb holds the generated messages and the connect-go service
// between nodes. The source is peer.proto; run go generate after changing it.
package peerpb

//go:generate sh -c "protoc -I . --plugin=protoc-gen-go=$(go -C ../../../../tools tool -n protoc-gen-go) --plugin=protoc-gen-connect-go=$(go -C ../../../../tools tool -n protoc-gen-connect-go) --go_out=. --go_opt=paths=source_relative --connect-go_out=. --connect-go_opt=paths=source_relative peer.proto"

package rig

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// Network stands between machines: each is reached by the others at an address of its own, from
// which the bytes are passed on. It can cut one machine off from the others.
type Network struct {
	rec      *Record
	machines []*Machine
	outer    []string // Addresses, by machine.
	sockets  []*net.UDPConn
	cut      atomic.Int32 // Number of the machine that is cut off, plus 1; 0 if none is.
	opened   atomic.Int64 // TCP connections that were opened during a cut.

	mu   sync.Mutex
	wait *sync.Cond // Signalled at the end of a cut.
}

// NewNetwork puts a network between machines. It must be called before they start.
func NewNetwork(rec *Record, machines []*Machine) (*Network, error) {
	n := &Network{rec: rec, machines: machines}
	n.wait = sync.NewCond(&n.mu)
	for i, m := range machines {
		outer := fmt.Sprintf("127.0.1.%d", 11+i)
		n.outer = append(n.outer, outer)
		m.Advertised = fmt.Sprintf("%s:%d", outer, m.Ports.Inbound)
		ln, err := net.Listen("tcp", m.Advertised)
		if err != nil {
			return nil, err
		}
		go n.accept(ln, m.addr(m.Ports.Inbound))
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(outer), Port: m.Ports.First})
		if err != nil {
			return nil, err
		}
		n.sockets = append(n.sockets, c)
	}
	for i := range machines {
		go n.relay(i)
	}
	return n, nil
}

// Cut cuts a machine off from the others, silently. Datagrams between the others pass. TCP has
// no sender here, so that none passes between any machines; Opened tells how many connections
// would have been opened.
func (n *Network) Cut(machine int) {
	n.cut.Store(int32(machine) + 1)
	n.rec.Printf("network: %s is cut off from the other machines", n.machines[machine].Name)
}

// Heal ends a cut.
func (n *Network) Heal() {
	n.cut.Store(0)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.wait.Broadcast()
	n.rec.Printf("network: healed; %d TCP connections were tried meanwhile", n.opened.Load())
}

// relay passes on the datagrams that are sent to a machine.
func (n *Network) relay(to int) {
	buf := make([]byte, 64<<10)
	for {
		size, from, err := n.sockets[to].ReadFromUDP(buf)
		if err != nil {
			return
		}
		for i, m := range n.machines {
			if from.IP.String() != m.IP {
				continue
			}
			if c := int(n.cut.Load()) - 1; c >= 0 && (c == i || c == to) {
				break
			}
			addr := &net.UDPAddr{IP: net.ParseIP(n.machines[to].IP), Port: n.machines[to].Ports.First}
			_, _ = n.sockets[i].WriteToUDP(buf[:size], addr) // As if it were lost.
		}
	}
}

func (n *Network) accept(ln net.Listener, to string) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		if n.cut.Load() != 0 {
			n.opened.Add(1)
		}
		go n.connect(c, to)
	}
}

func (n *Network) connect(a net.Conn, to string) {
	defer a.Close()
	n.pass()
	b, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer b.Close()
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{a, b}, {b, a}} {
		go func() {
			_, _ = io.Copy(passing{n, pair[1]}, pair[0]) // Ends with the connection.
			done <- struct{}{}
		}()
	}
	<-done
}

// pass waits for the end of a cut.
func (n *Network) pass() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for n.cut.Load() != 0 {
		n.wait.Wait()
	}
}

// passing writes to a connection while there is no cut.
type passing struct {
	n *Network
	io.Writer
}

func (p passing) Write(b []byte) (int, error) {
	p.n.pass()
	return p.Writer.Write(b)
}

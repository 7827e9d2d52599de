package dogsettings

import (
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"strings"

	"dogwoodford/core/version/dogini"
)

// MinPeerKeyLength is the minimum length of a peer key in bytes.
const MinPeerKeyLength = 16

// Settings contains the settings of one node, one field per section of the file.
type Settings struct {
	Node     Node
	Listen   Listen
	Target   Target
	Platform Platform
	Peer     Peer
	Trace    Trace
	Log      Log
}

// Node identifies the node.
type Node struct {
	Name       string
	Service    string
	DataCentre string
}

// Listen contains the addresses of the listeners, each an IP address and port.
type Listen struct {
	Entry string
	Exit  string
	Peer  string
	Admin string
}

// Target describes the target beside the node.
type Target struct {
	Address     string // IP address and port.
	Slots       int    // Announced if the target's load endpoint gives no number.
	Connections int    // Connections that the target accepts.
	HealthPath  string // Path of the health endpoint.
	LoadPath    string // Path of the load endpoint.
}

// Platform identifies the object service of the platform.
type Platform struct {
	Address string // IP address and port.
}

// Peer contains the settings for messages between nodes.
type Peer struct {
	Key   string   // Shared key of at least MinPeerKeyLength bytes.
	Seeds []string // Addresses of peer listeners of other nodes; may be empty.
}

// Exporters of traces.
const (
	ExporterNone    = "none"
	ExporterConsole = "console"
	ExporterOTLP    = "otlp"
)

// Trace configures the exporter of spans.
type Trace struct {
	Exporter string
	Endpoint string // IP address and port of a collector for OTLP over HTTP.
}

// Formats of log lines.
const (
	FormatJSON = "json"
	FormatText = "text"
)

// Log configures the level and the format of log lines.
type Log struct {
	Level  slog.Level
	Format string
}

// Load reads and checks a settings file. It returns an error that wraps the
// dogini.Problems if the settings are invalid, or the error of reading the file.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, data)
}

// Parse parses and checks the text of a settings file. file is the file name that
// errors contain. If the settings are invalid, the error wraps the
// dogini.Problems.
func Parse(file string, data []byte) (Settings, error) {
	doc := dogini.Parse(file, data)
	if doc.Unparsable() {
		return Settings{}, fmt.Errorf("settings: %w", doc.Err())
	}
	s := Settings{
		Node:   parseNode(doc.Section("node")),
		Listen: parseListen(doc.Section("listen")),
		Target: parseTarget(doc.Section("target")),
		Peer:   parsePeer(doc.Section("peer")),
		Trace:  Trace{Exporter: ExporterNone},
		Log:    Log{Level: slog.LevelInfo, Format: FormatJSON},
	}
	s.Platform.Address = readAddress(doc.Section("platform"), "address")
	if sec, ok := doc.OptionalSection("trace"); ok {
		s.Trace = parseTrace(sec)
	}
	if sec, ok := doc.OptionalSection("log"); ok {
		s.Log = parseLog(sec)
	}
	checkDistinct(doc, s)
	if err := doc.Err(); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return s, nil
}

func parseNode(s *dogini.Section) Node {
	return Node{Name: s.Name("name"), Service: s.Name("service"), DataCentre: s.Name("data_centre")}
}

func parseListen(s *dogini.Section) Listen {
	return Listen{
		Entry: readAddress(s, "entry"),
		Exit:  readAddress(s, "exit"),
		Peer:  readAddress(s, "peer"),
		Admin: readAddress(s, "admin"),
	}
}

func parseTarget(s *dogini.Section) Target {
	t := Target{
		Address:     readAddress(s, "address"),
		Slots:       int(s.Int("slots", dogini.Range{Min: 1, Max: 100_000})),
		Connections: int(s.Int("connections", dogini.Range{Min: 1, Max: 1_000_000})),
		HealthPath:  readPath(s, "health", "/health"),
		LoadPath:    readPath(s, "load", "/load"),
	}
	if t.Connections < t.Slots {
		s.Report("connections", "%d connections cannot fill %d slots", t.Connections, t.Slots)
	}
	return t
}

func parsePeer(s *dogini.Section) Peer {
	p := Peer{Key: s.Text("key")}
	if p.Key != "" && len(p.Key) < MinPeerKeyLength {
		s.Report("key", "the key has fewer than %d characters", MinPeerKeyLength)
	}
	if strings.ContainsFunc(p.Key, func(r rune) bool { return r <= ' ' || r > '~' }) {
		s.Report("key", "the key has characters that are not allowed in a header")
	}
	if s.Has("seeds") {
		p.Seeds = s.List("seeds")
		for _, seed := range p.Seeds {
			checkAddress(s, "seeds", seed)
		}
	}
	return p
}

func parseTrace(s *dogini.Section) Trace {
	t := Trace{Exporter: s.Choice("exporter", ExporterNone, ExporterConsole, ExporterOTLP)}
	if t.Exporter == ExporterOTLP || s.Has("endpoint") {
		t.Endpoint = readAddress(s, "endpoint")
	}
	return t
}

func parseLog(s *dogini.Section) Log {
	l := Log{Format: s.Choice("format", FormatJSON, FormatText)}
	levels := map[string]slog.Level{
		"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError,
	}
	l.Level = levels[s.Choice("level", "info", "debug", "warn", "error")]
	return l
}

// readAddress reads a key whose value must be an IP address and port.
func readAddress(s *dogini.Section, key string) string {
	v := s.Text(key)
	checkAddress(s, key, v)
	return v
}

func checkAddress(s *dogini.Section, key, v string) {
	if v == "" {
		return // Already reported as empty or missing.
	}
	ap, err := netip.ParseAddrPort(v)
	if err != nil || ap.Port() == 0 {
		s.Report(key, "%q is not an IP address and a port, such as 127.0.0.1:7101", v)
		return
	}
	if ap.Addr().IsUnspecified() {
		s.Report(key, "%q is an unspecified address; other processes must be able to connect to it", v)
	}
}

// readPath reads an optional key whose value must be an absolute path. It returns
// fallback if the key is missing.
func readPath(s *dogini.Section, key, fallback string) string {
	v := s.TextOr(key, fallback)
	if v != "" && (!strings.HasPrefix(v, "/") || strings.ContainsAny(v, " ?#")) {
		s.Report(key, "%q is not a path that starts with a slash", v)
	}
	return v
}

// checkDistinct reports addresses that two keys share.
func checkDistinct(doc *dogini.Document, s Settings) {
	used := make(map[string]string)
	for _, a := range []struct{ section, key, value string }{
		{"listen", "entry", s.Listen.Entry},
		{"listen", "exit", s.Listen.Exit},
		{"listen", "peer", s.Listen.Peer},
		{"listen", "admin", s.Listen.Admin},
		{"target", "address", s.Target.Address},
		{"platform", "address", s.Platform.Address},
	} {
		if a.value == "" {
			continue
		}
		if other, ok := used[a.value]; ok {
			doc.Report(a.section, a.key, "%s is already the address of %s", a.value, other)
			continue
		}
		used[a.value] = "[" + a.section + "] " + a.key
	}
}

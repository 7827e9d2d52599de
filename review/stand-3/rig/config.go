package rig

import (
	"encoding/json"
	"time"
)

// Route is a route of the configuration.
type Route struct {
	Name, Host, Prefix, Kind, Service string
	Timeout                           time.Duration
	Attempts                          int
	Public                            bool
}

// Tenant is a tenant with its keys.
type Tenant struct {
	Name        string
	Keys        []string
	Rate, Burst float64
}

// Config returns a version of the configuration.
func Config(version int64, services []string, routes []Route, tenants []Tenant) json.RawMessage {
	var ss, hosts, ts []any
	for _, s := range services {
		ss = append(ss, map[string]any{"name": s, "healthPath": "/health", "maxConnections": 400})
	}
	for _, r := range routes {
		hosts = append(hosts, map[string]any{"hostname": r.Host, "paths": []any{map[string]any{
			"name": r.Name, "pathPrefix": r.Prefix, "kind": r.Kind, "timeout": r.Timeout.String(), "targetLatency": "1500ms",
			"priority": 1, "service": r.Service, "attempts": r.Attempts, "public": r.Public,
		}}})
	}
	for _, t := range tenants {
		ts = append(ts, map[string]any{"name": t.Name, "apiKeys": t.Keys, "priority": 1, "ratePerS": t.Rate, "burst": t.Burst})
	}
	c := map[string]any{
		"version": version, "services": ss, "virtualHosts": hosts,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	}
	if len(ts) > 0 {
		c["tenants"] = ts
	}
	out, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return out
}

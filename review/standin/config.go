package main

// route is one route of the operator's configuration.
type route struct {
	Name            string   `json:"name"`
	Hostname        string   `json:"hostname"`
	Prefix          string   `json:"prefix"`
	RouteType       string   `json:"routeType"`
	TimeoutMs       int      `json:"timeoutMs"`
	TargetLatencyMs int      `json:"targetLatencyMs"`
	Priority        int      `json:"priority"`
	Service         string   `json:"service,omitempty"`
	FanoutServices  []string `json:"fanoutServices,omitempty"`
	MaxAttempts     int      `json:"maxAttempts"`
	TopK            int      `json:"topK,omitempty"`
	MinShardRatio   float64  `json:"minShardRatio,omitempty"`
}

// service is one service of the operator's configuration.
type service struct {
	Name           string  `json:"name"`
	HealthPath     string  `json:"healthPath"`
	MaxConnections int     `json:"maxConnections"`
	WarmupS        float64 `json:"warmupS,omitempty"`
	WarmupPerS     float64 `json:"warmupPerS,omitempty"`
}

// putConfiguration writes a configuration to the store.
func (w *world) putConfiguration(version int, services []service, routes ...route) {
	for i := range routes {
		routes[i].Hostname = host
	}
	w.record("configuration", "version", version)
	w.store.put("op/config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

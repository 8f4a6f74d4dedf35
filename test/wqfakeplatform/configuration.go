package wqfakeplatform

// Host is the host of all routes.
const Host = "shop.example"

// Route is one route of the operators' configuration.
type Route struct {
	Name            string   `json:"name"`
	Hostname        string   `json:"hostname"`
	Prefix          string   `json:"prefix"`
	RouteType       string   `json:"routeType"`
	TimeoutMs       int      `json:"timeoutMs"`
	TargetLatencyMs int      `json:"targetLatencyMs"`
	Service         string   `json:"service,omitempty"`
	FanoutServices  []string `json:"fanoutServices,omitempty"`
	MaxAttempts     int      `json:"maxAttempts"`
	TopK            int      `json:"topK,omitempty"`
	MinShardRatio   float64  `json:"minShardRatio,omitempty"`
}

// Configuration is what operators write.
type Configuration struct {
	Version  int       `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   struct {
		MaxHeaderBytes  int `json:"maxHeaderBytes"`
		MaxBodyBytes    int `json:"maxBodyBytes"`
		HeaderTimeoutMs int `json:"headerTimeoutMs"`
		IdleTimeoutMs   int `json:"idleTimeoutMs"`
	} `json:"limits"`
}

// Service is one service of the operators' configuration.
type Service struct {
	Name           string `json:"name"`
	HealthPath     string `json:"healthPath"`
	MaxConnections int    `json:"maxConnections"`
}

// topRecords is how many records an answer of the fan-out route holds.
const topRecords = 6

// Configuration returns a version with a fan-out route under /all/, which may
// lack one shard in five, an idempotent route under /one/ and one that is not
// under /write/.
func (f *Fleet) Configuration(version int, shards []string) Configuration {
	c := Configuration{Version: version}
	c.Routes = []Route{
		{Name: "all", Prefix: "/all/", RouteType: "safe", FanoutServices: shards, TopK: topRecords, MinShardRatio: 0.8},
		{Name: "one", Prefix: "/one/", RouteType: "safe", Service: "orders"},
		{Name: "write", Prefix: "/write/", RouteType: "unsafe", Service: "invoices"},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		r.Hostname, r.MaxAttempts, r.TimeoutMs, r.TargetLatencyMs = Host, 2, 2000, 200
	}
	for _, name := range append([]string{"orders", "invoices"}, shards...) {
		c.Services = append(c.Services, Service{Name: name, HealthPath: "/health", MaxConnections: 60})
	}
	c.Limits.MaxHeaderBytes, c.Limits.MaxBodyBytes = 16384, 4096
	c.Limits.HeaderTimeoutMs, c.Limits.IdleTimeoutMs = 3000, 15000
	return c
}

// Shards returns the names of a cut of the index.
func Shards(cut, count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = ShardName(cut, i)
	}
	return names
}

// PutConfiguration writes a configuration.
func (f *Fleet) PutConfiguration(c Configuration) { f.Store.Put("op/config", c) }

package wqfakeplatform

// Host is the host name of all routes.
const Host = "shop.example"

// Route is one route of a Configuration.
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
	AllowAnonymous  bool     `json:"allowAnonymous,omitempty"`
}

// Configuration is the operators' configuration in the format of the store.
type Configuration struct {
	Version  int       `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Tenants  []Tenant  `json:"tenants,omitempty"`
	Limits   struct {
		MaxHeaderBytes  int `json:"maxHeaderBytes"`
		MaxBodyBytes    int `json:"maxBodyBytes"`
		HeaderTimeoutMs int `json:"headerTimeoutMs"`
		IdleTimeoutMs   int `json:"idleTimeoutMs"`
	} `json:"limits"`
}

// Tenant is one client account of a Configuration.
type Tenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"apiKeys"`
	Priority *int     `json:"priority,omitempty"`
	RatePerS float64  `json:"ratePerS,omitempty"`
	Burst    float64  `json:"burst,omitempty"`
}

// Service is one service of a Configuration.
type Service struct {
	Name           string `json:"name"`
	HealthPath     string `json:"healthPath"`
	MaxConnections int    `json:"maxConnections"`
}

// topRecords is the number of records in an answer of the fan-out route (topK).
const topRecords = 6

// Configuration returns a configuration with three routes: /all/ fans out to the
// shards and tolerates one missing shard in five, /one/ is idempotent, and /write/
// is not.
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

// Shards returns the names of the shards of the layout with this number.
func Shards(layout, count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = ShardName(layout, i)
	}
	return names
}

// PutConfiguration writes a configuration to the store.
func (f *Fleet) PutConfiguration(c Configuration) { f.Store.Put("op/config", c) }

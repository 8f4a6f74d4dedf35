// Package wqsetting defines the settings of an entry VM. They are read from flags
// and environment variables, and Validate reports all errors in them at once.
//
// # Usage
//
//	var s wqsetting.Settings
//	flags.NewParser(&s, flags.Default).ParseArgs(args)
//	if err := s.Validate(); err != nil { ... } // lists every invalid setting
package wqsetting

import "time"

// Settings are the settings of `wisteriaquay serve`. Durations are in Go's syntax,
// such as 250ms. Listener addresses are an IP address and a port.
type Settings struct {
	Identity  Identity  `group:"Identity"`
	Listeners Listeners `group:"Listeners"`
	Platform  Platform  `group:"Platform"`
	Keys      Keys      `group:"Keys"`
	Limits    Limits    `group:"Limits"`
}

// Identity identifies this VM and its location.
type Identity struct {
	ID     string `long:"id" env:"WISTERIAQUAY_ID" description:"name of this VM, unique at any time; a replacement VM gets a new one"`
	Zone   string `long:"zone" env:"WISTERIAQUAY_ZONE" description:"availability zone of this VM"`
	Region string `long:"region" env:"WISTERIAQUAY_REGION" description:"region of this VM"`
}

// Listeners are the addresses on which this VM listens, and AdvertisedPeer, the
// address that the other VMs are given.
type Listeners struct {
	Caller         string `long:"caller-listen" env:"WISTERIAQUAY_CALLER_LISTEN" default:"127.0.0.1:7400" description:"address for callers and operators"`
	Peer           string `long:"peer-listen" env:"WISTERIAQUAY_PEER_LISTEN" default:"127.0.0.1:7401" description:"address on which this VM listens for the other VMs; they also call it there when --peer-address is not set"`
	AdvertisedPeer string `long:"peer-address" env:"WISTERIAQUAY_PEER_ADDRESS" description:"address at which the other VMs call this one; the peer listener's when it is not set"`
	Admin          string `long:"admin-listen" env:"WISTERIAQUAY_ADMIN_LISTEN" default:"127.0.0.1:7402" description:"address for /metrics, /livez and /readyz"`
}

// Platform locates the platform's services and bounds the calls to them.
type Platform struct {
	StoreURL      string        `long:"store" env:"WISTERIAQUAY_STORE" description:"URL of the configuration store"`
	StoreTimeout  time.Duration `long:"store-timeout" env:"WISTERIAQUAY_STORE_TIMEOUT" default:"2s" description:"longest wait for one call to the store"`
	VMListURL     string        `long:"vm-list" env:"WISTERIAQUAY_VM_LIST" description:"URL of the VM list"`
	VMListPeriod  time.Duration `long:"vm-list-period" env:"WISTERIAQUAY_VM_LIST_PERIOD" default:"10s" description:"time between two reads of the VM list"`
	VMListLag     time.Duration `long:"vm-list-lag" env:"WISTERIAQUAY_VM_LIST_LAG" default:"30s" description:"longest time until the VM list shows a started VM or drops a stopped one; a VM that is unreachable for this long and missing from a later list no longer counts toward the majority of its region"`
	VMListTimeout time.Duration `long:"vm-list-timeout" env:"WISTERIAQUAY_VM_LIST_TIMEOUT" default:"2s" description:"longest wait for one read of the VM list"`
}

// Keys are the credentials of the VM. They are PEM text, since the VMs have no
// disks; a value that starts with a slash is the path of a file instead.
type Keys struct {
	CallerCertificate string `long:"caller-certificate" env:"WISTERIAQUAY_CALLER_CERTIFICATE" description:"PEM certificate shown to callers and operators, or its path"`
	CallerKey         string `long:"caller-key" env:"WISTERIAQUAY_CALLER_KEY" description:"PEM private key of the caller certificate, or its path"`
	PeerCertificate   string `long:"peer-certificate" env:"WISTERIAQUAY_PEER_CERTIFICATE" description:"PEM certificate shown to the other VMs, or its path"`
	PeerKey           string `long:"peer-key" env:"WISTERIAQUAY_PEER_KEY" description:"PEM private key of the peer certificate, or its path"`
	PeerAuthority     string `long:"peer-authority" env:"WISTERIAQUAY_PEER_AUTHORITY" description:"PEM certificate of the authority that signs peers, or its path"`
	OperatorToken     string `long:"operator-token" env:"WISTERIAQUAY_OPERATOR_TOKEN" description:"credential that operators send, at least 16 bytes, or its path"`
	PlainText         bool   `long:"plain-text" env:"WISTERIAQUAY_PLAIN_TEXT" description:"serve callers and peers without TLS; for a loopback trial only"`
}

// PlainReplicaPolicy is the value of Limits.ReplicaPolicy that selects replicas at
// random and sends no hedges.
const PlainReplicaPolicy = "plain"

// Limits are the VM's limits, intervals and policies.
type Limits struct {
	MaxHolders        int           `long:"max-holders" env:"WISTERIAQUAY_MAX_HOLDERS" default:"3" description:"maximum number of VMs that connect to one searcher, 1 to 16; must be the same on all VMs"`
	HeartbeatInterval time.Duration `long:"heartbeat" env:"WISTERIAQUAY_HEARTBEAT" default:"500ms" description:"time between two heartbeats that this VM sends; must be the same on all VMs"`
	BalancerLag       time.Duration `long:"balancer-lag" env:"WISTERIAQUAY_BALANCER_LAG" default:"2s" description:"how long the balancer may still send callers here after /readyz fails"`
	StopLimit         time.Duration `long:"stop-limit" env:"WISTERIAQUAY_STOP_LIMIT" default:"45s" description:"longest time from the stop signal to the exit"`
	TicketTTL         time.Duration `long:"ticket-life" env:"WISTERIAQUAY_TICKET_LIFE" default:"30s" description:"how long the ticket of a write-like request may be used"`
	ReplicaPolicy     string        `long:"policy" env:"WISTERIAQUAY_POLICY" default:"adaptive" choice:"adaptive" choice:"plain" description:"how replicas are chosen: adaptive with hedges, or plain (random, no hedges) as a baseline for experiments"`
	LogPerSecond      int           `long:"log-per-second" env:"WISTERIAQUAY_LOG_PER_SECOND" default:"5" description:"maximum number of log lines per second below the level of error"`
}

// Package config reads the settings of the programs from INI files.
//
// The structs Router, Side and Operator define the files. Their struct tags give
// each key's name, default, bounds and description. docs/SETTINGS.md is
// generated from these tags. Parse checks the whole file and returns all faults
// in one error.
package config

import "time"

// Router holds the settings of an entry instance, beryl-router.
type Router struct {
	Instance Instance     `section:"instance" doc:"Name and location of the process."`
	Listen   RouterListen `section:"listen" doc:"Addresses that the process listens on. By default all are on loopback."`
	PeerTLS  PeerTLS      `section:"peer-tls" doc:"Mutual TLS between the system's own processes. If no certificates are set, their connections are not encrypted."`
	Platform Platform     `section:"platform" doc:"Services of the platform that the process uses."`
	Budget   Budget       `section:"budget" doc:"How the entry instance obtains tokens for the requests that it receives."`
	Fleet    Fleet        `section:"fleet" doc:"When the leases of entry instances that are gone are closed, so that their tokens return to the budgets. A lease is the part of a budget's tokens that one entry instance may spend."`
	Limits   Limits       `section:"limits" doc:"Limits of the requests that the instance accepts, and of its own resources."`
	Log      Log          `section:"log" doc:"Log lines, which are written to standard error."`
	Trace    Trace        `section:"trace" doc:"OpenTelemetry traces, with a span for each call between processes."`
}

// Side holds the settings of a side process, beryl-side.
type Side struct {
	Instance Instance   `section:"instance" doc:"Name and location of the process."`
	Listen   SideListen `section:"listen" doc:"Addresses that the process listens on. By default all are on loopback."`
	PeerTLS  PeerTLS    `section:"peer-tls" doc:"Mutual TLS between the system's own processes. If no certificates are set, their connections are not encrypted."`
	Platform Platform   `section:"platform" doc:"Services of the platform that the process uses."`
	Budget   Shards     `section:"budget" doc:"Log streams of the budgets that usage is billed to."`
	Target   Target     `section:"target" doc:"The target that the side process runs requests on."`
	Limits   SideLimits `section:"limits" doc:"Time limits of the target's answers, and limits of the process's own resources."`
	Log      Log        `section:"log" doc:"Log lines, which are written to standard error."`
	Trace    Trace      `section:"trace" doc:"OpenTelemetry traces, with a span for each call between processes."`
}

// Operator holds the settings of the operators' program, beryl.
type Operator struct {
	PeerTLS  PeerTLS   `section:"peer-tls" doc:"Mutual TLS for connections to the entry instances. If no certificates are set, the connections are not encrypted."`
	Platform Addresses `section:"platform" doc:"Services of the platform that the program uses."`
	Budget   Shards    `section:"budget" doc:"Log streams of the budgets that are topped up and shown."`
}

// Program is the settings struct of one program.
type Program interface{ Router | Side | Operator }

// Instance holds the name and location of the process.
type Instance struct {
	Name       string `key:"name" type:"name" required:"yes" doc:"Name of the instance, unique among all instances of the system."`
	DataCentre string `key:"data-centre" type:"name" required:"yes" doc:"Data centre that the instance is in."`
	Region     string `key:"region" type:"name" doc:"Region that the data centre is in."`
}

// RouterListen holds the addresses of an entry instance.
type RouterListen struct {
	HTTP      string `key:"http" type:"address" default:"127.0.0.1:8080" doc:"Address that callers connect to, over HTTP."`
	GRPC      string `key:"grpc" type:"address" default:"127.0.0.1:8081" doc:"Address that other processes of the system connect to, over gRPC."`
	Advertise string `key:"advertise" type:"address" doc:"Address at which other processes reach the grpc listener. It is announced on the instance list. If it is not set, the address of the listener itself is announced."`
	Debug     string `key:"debug" type:"address" default:"127.0.0.1:8082" doc:"Address that serves metrics (expvar) and profiles, without authentication."`
	TLSCert   string `key:"tls-cert" type:"file" doc:"PEM file with the certificate chain of the http listener. If it is not set, callers are served over plain HTTP."`
	TLSKey    string `key:"tls-key" type:"file" doc:"PEM file with the private key of tls-cert."`
}

// SideListen holds the addresses of a side process.
type SideListen struct {
	GRPC      string `key:"grpc" type:"address" default:"127.0.0.1:8091" doc:"Address that entry instances connect to, over gRPC."`
	Advertise string `key:"advertise" type:"address" doc:"Address at which other processes reach the grpc listener. It is announced on the instance list. If it is not set, the address of the listener itself is announced."`
	Debug     string `key:"debug" type:"address" default:"127.0.0.1:8092" doc:"Address that serves metrics (expvar) and profiles, without authentication."`
}

// PeerTLS holds the files for mutual TLS. All three are set, or none.
type PeerTLS struct {
	Cert string `key:"cert" type:"file" doc:"PEM file with this process's certificate chain."`
	Key  string `key:"key" type:"file" doc:"PEM file with the private key of cert."`
	CA   string `key:"ca" type:"file" doc:"PEM file with the certificate authorities that must have issued the certificates of other processes."`
}

// Enabled reports whether the processes use TLS.
func (p PeerTLS) Enabled() bool { return p.Cert != "" }

// Platform holds the URLs of the platform's services, and how often the process
// calls them.
type Platform struct {
	LogService      string        `key:"log-service" type:"url" required:"yes" doc:"Base URL of the log service."`
	InstanceList    string        `key:"instance-list" type:"url" required:"yes" doc:"Base URL of the instance list."`
	AnnounceEvery   time.Duration `key:"announce-every" min:"100ms" max:"10m" default:"3s" doc:"Pause between two announcements on the instance list. It must be well below the time after which the list drops an instance."`
	CheckpointEvery time.Duration `key:"checkpoint-every" min:"1s" max:"24h" default:"10m" doc:"Time after which a new checkpoint of a stream's state is appended to the stream, even if nothing has changed. It must be well below the time for which the log service keeps records: the state of a quiet stream is lost when its last checkpoint expires."`
	ListEvery       time.Duration `key:"list-every" min:"100ms" max:"10m" default:"1s" doc:"Pause between two reads of the instance list."`
}

// Addresses holds the URLs of the platform's services, for a program that does
// not announce itself on the instance list.
type Addresses struct {
	LogService   string `key:"log-service" type:"url" required:"yes" doc:"Base URL of the log service."`
	InstanceList string `key:"instance-list" type:"url" required:"yes" doc:"Base URL of the instance list."`
}

// Shards holds the number of streams that budgets are spread over.
type Shards struct {
	Shards int `key:"shards" min:"1" max:"1024" default:"1" doc:"Number of log streams that budgets are spread over. It must be the same for all processes of the system, and can't be changed once budgets exist."`
}

// Budget holds the policy by which an entry instance obtains tokens.
type Budget struct {
	Shards   int           `key:"shards" min:"1" max:"1024" default:"1" doc:"Number of log streams that budgets are spread over. It must be the same for all processes of the system, and can't be changed once budgets exist."`
	Horizon  time.Duration `key:"horizon" min:"1s" max:"24h" default:"1m" doc:"How long the tokens that the instance holds should last at the current demand if the log service is unavailable."`
	LowWater Share         `key:"low-water" min:"1%" max:"99%" default:"50%" doc:"The instance requests more tokens when the tokens that it holds fall below this share of the tokens wanted for the horizon."`
	Wait     time.Duration `key:"wait" min:"0s" max:"1m" default:"500ms" doc:"How long a request waits for tokens before it is refused."`
	Weight   string        `key:"weight" oneof:"refusals|balanced|overspend" default:"balanced" doc:"What to avoid first: refusals of requests although the budget has tokens (refusals), overspending (overspend), or both alike (balanced). The setting changes how many tokens are reserved and held in advance. It never changes the limit on spending."`
}

// Fleet holds the settings for closing the leases of entry instances that are
// gone.
type Fleet struct {
	CloseAfter time.Duration `key:"close-after" min:"1s" max:"24h" default:"30s" doc:"How long an entry instance has to be missing from the instance list before its leases are closed. Closing the leases of a running instance breaks no guarantee, because the instance continues with new leases."`
	Stagger    time.Duration `key:"stagger" min:"0s" max:"1h" default:"10s" doc:"Additional time that each further entry instance waits before it closes the same leases. With it, two instances seldom close them at once."`
}

// Limits bounds the requests that an entry instance accepts, and the processors
// that it uses.
type Limits struct {
	Threads           int           `key:"threads" min:"1" max:"1024" default:"4" doc:"Largest number of processors that the process uses at once (GOMAXPROCS). More processors cost more CPU time for each token, because they are woken for little work."`
	HeaderBytes       Bytes         `key:"header-bytes" min:"1KiB" max:"1MiB" default:"32KiB" doc:"Largest request header."`
	BodyBytes         Bytes         `key:"body-bytes" min:"1KiB" max:"256MiB" default:"8MiB" doc:"Largest request body."`
	Streams           int           `key:"streams" min:"1" max:"1000000" default:"4096" doc:"Largest number of requests in progress at once, streamed or not."`
	ReadTimeout       time.Duration `key:"read-timeout" min:"100ms" max:"10m" default:"10s" doc:"How long a caller may take to send a request."`
	FirstEventTimeout time.Duration `key:"first-event-timeout" min:"100ms" max:"1h" default:"1m" doc:"How long to wait for the first event of an attempt, which is one try to run a request on a target."`
	EventTimeout      time.Duration `key:"event-timeout" min:"100ms" max:"1h" default:"30s" doc:"How long to wait for each further event of an attempt before the connection is considered broken."`
	RetryShare        Share         `key:"retry-share" min:"1%" max:"100%" default:"10%" doc:"Largest number of attempts beyond the first, as a share of the requests."`
	Queue             int           `key:"queue" min:"0" max:"1000000" default:"256" doc:"Largest number of requests for one service that wait for a target. 0 means that no request waits."`
}

// SideLimits bounds the time that a target takes to answer, and the processors
// that its side process uses.
type SideLimits struct {
	Threads           int           `key:"threads" min:"1" max:"1024" default:"2" doc:"Largest number of processors that the process uses at once (GOMAXPROCS). The others are left to the target."`
	FirstEventTimeout time.Duration `key:"first-event-timeout" min:"100ms" max:"1h" default:"1m" doc:"How long to wait for the first byte of the target's answer."`
	EventTimeout      time.Duration `key:"event-timeout" min:"100ms" max:"1h" default:"30s" doc:"How long to wait for each further byte of the answer before the target is considered stalled."`
}

// Target describes the target of a side process.
type Target struct {
	URL          string        `key:"url" type:"url" required:"yes" doc:"Base URL of the target."`
	Slot         string        `key:"slot" type:"name" required:"yes" doc:"Name of the slot, the place in the deployment that the target and its side process occupy. It stays the same when they are replaced."`
	Service      string        `key:"service" type:"name" required:"yes" doc:"Catalogue entry of the service that the target belongs to."`
	Kind         string        `key:"kind" oneof:"model|app" required:"yes" doc:"Kind of the target: a model engine (model) or an application (app)."`
	FenceChecked bool          `key:"fence-checked" default:"no" doc:"Whether the target refuses orders and requests that carry a lower fencing number than it has seen, which come from a side process that was replaced."`
	Concurrent   int           `key:"concurrent" min:"1" max:"100000" default:"64" doc:"Largest number of requests that run at the target at once."`
	LoadTimeout  time.Duration `key:"load-timeout" min:"10s" max:"24h" default:"10m" doc:"How long another target of the service may take to load its weights before this side process removes it from the queue of targets that load. It must be longer than a load takes. If it is too short, more targets load at once, which adds load on the weight store and has no other effect."`
	Grace        time.Duration `key:"grace" min:"0s" max:"1h" default:"30s" doc:"How long a planned stop waits for the requests in progress."`
}

// Log holds the levels and the format of log lines.
type Log struct {
	Level  string `key:"level" oneof:"debug|info|warn|error" default:"info" doc:"Least severe level that is logged."`
	Format string `key:"format" oneof:"text|json|logfmt" default:"text" doc:"Format of the log lines."`
	Layers Layers `key:"layers" doc:"Levels of single layers (parts of the program), such as entry=debug,budget=warn. For the lines of these layers they replace the setting level."`
}

// Trace holds the settings for recording spans and writing them.
type Trace struct {
	Exporter string `key:"exporter" oneof:"none|stdout|stderr" default:"none" doc:"Where finished spans are written, as lines of JSON."`
	Sampled  Share  `key:"sampled" min:"0%" max:"100%" default:"1%" doc:"Share of the traces begun by this process that are recorded. For a trace begun elsewhere, the decision made there applies."`
}

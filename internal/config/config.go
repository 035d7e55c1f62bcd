// Package config reads the settings of the programs from INI files.
//
// The structs Router, Side and Operator are the reference: their tags give each
// key's name, default and description, and docs/SETTINGS.md is generated from
// them. A file is checked whole: Parse returns all faults in one error.
package config

import "time"

// Router is the settings of an entry instance, beryl-router.
type Router struct {
	Instance Instance     `section:"instance" doc:"Who the process is."`
	Listen   RouterListen `section:"listen" doc:"Where the process listens. All listeners are on loopback unless told otherwise."`
	PeerTLS  PeerTLS      `section:"peer-tls" doc:"Mutual TLS between the system's own processes. Without certificates they speak plain TCP."`
	Platform Platform     `section:"platform" doc:"The platform's services."`
	Budget   Budget       `section:"budget" doc:"How tokens are obtained for the requests that arrive here."`
	Fleet    Fleet        `section:"fleet" doc:"What is done about entry instances that are gone."`
	Limits   Limits       `section:"limits" doc:"Bounds on what callers may ask of the instance."`
	Log      Log          `section:"log" doc:"Log lines, which go to standard error."`
	Trace    Trace        `section:"trace" doc:"OpenTelemetry traces with a span for each hop."`
}

// Side is the settings of a side process, beryl-side.
type Side struct {
	Instance Instance   `section:"instance" doc:"Who the process is."`
	Listen   SideListen `section:"listen" doc:"Where the process listens. All listeners are on loopback unless told otherwise."`
	PeerTLS  PeerTLS    `section:"peer-tls" doc:"Mutual TLS between the system's own processes. Without certificates they speak plain TCP."`
	Platform Platform   `section:"platform" doc:"The platform's services."`
	Budget   Shards     `section:"budget" doc:"Where usage is billed."`
	Target   Target     `section:"target" doc:"The target that the process stands beside."`
	Limits   SideLimits `section:"limits" doc:"Bounds on what the target may take."`
	Log      Log        `section:"log" doc:"Log lines, which go to standard error."`
	Trace    Trace      `section:"trace" doc:"OpenTelemetry traces with a span for each hop."`
}

// Operator is the settings of the operators' command line, beryl.
type Operator struct {
	PeerTLS  PeerTLS   `section:"peer-tls" doc:"Mutual TLS towards the entry instances that are asked for their holdings."`
	Platform Addresses `section:"platform" doc:"The platform's services."`
	Budget   Shards    `section:"budget" doc:"Where tokens are topped up."`
}

// Family is the settings of one program.
type Family interface{ Router | Side | Operator }

// Instance says who the process is.
type Instance struct {
	Name       string `key:"name" type:"name" required:"yes" doc:"Name of the instance, unique among all instances of the system."`
	DataCentre string `key:"data-centre" type:"name" required:"yes" doc:"Data centre that the instance is in."`
	Region     string `key:"region" type:"name" doc:"Region that the data centre is in."`
}

// RouterListen holds the addresses of an entry instance.
type RouterListen struct {
	HTTP      string `key:"http" type:"address" default:"127.0.0.1:8080" doc:"Address for callers."`
	GRPC      string `key:"grpc" type:"address" default:"127.0.0.1:8081" doc:"Address for other processes of the system."`
	Advertise string `key:"advertise" type:"address" doc:"Address that the instance list shows to the others; that of the grpc listener where it is not set."`
	Debug     string `key:"debug" type:"address" default:"127.0.0.1:8082" doc:"Address for metrics (expvar) and profiles. It has no authentication."`
	TLSCert   string `key:"tls-cert" type:"file" doc:"PEM file with the certificate chain for callers. Without it they are served plain HTTP."`
	TLSKey    string `key:"tls-key" type:"file" doc:"PEM file with the key of tls-cert."`
}

// SideListen holds the addresses of a side process.
type SideListen struct {
	GRPC      string `key:"grpc" type:"address" default:"127.0.0.1:8091" doc:"Address for entry instances."`
	Advertise string `key:"advertise" type:"address" doc:"Address that the instance list shows to the others; that of the grpc listener where it is not set."`
	Debug     string `key:"debug" type:"address" default:"127.0.0.1:8092" doc:"Address for metrics (expvar) and profiles. It has no authentication."`
}

// PeerTLS holds the files for mutual TLS. All three are set, or none.
type PeerTLS struct {
	Cert string `key:"cert" type:"file" doc:"PEM file with this process's certificate chain."`
	Key  string `key:"key" type:"file" doc:"PEM file with the key of cert."`
	CA   string `key:"ca" type:"file" doc:"PEM file with the authorities that the certificates of other processes must come from."`
}

// Enabled reports whether the processes speak TLS.
func (p PeerTLS) Enabled() bool { return p.Cert != "" }

// Platform holds the URLs of the platform's services, and how often the
// instance list is used.
type Platform struct {
	LogService      string        `key:"log-service" type:"url" required:"yes" doc:"Base URL of the log service."`
	InstanceList    string        `key:"instance-list" type:"url" required:"yes" doc:"Base URL of the instance list."`
	AnnounceEvery   time.Duration `key:"announce-every" min:"100ms" max:"10m" default:"3s" doc:"Pause between two announcements on the instance list. It must be well below the time after which the list drops an instance."`
	CheckpointEvery time.Duration `key:"checkpoint-every" min:"1s" max:"24h" default:"10m" doc:"Time after which the state of a quiet stream is appended again as a checkpoint. It must be well below the time for which the log service keeps records."`
	ListEvery       time.Duration `key:"list-every" min:"100ms" max:"10m" default:"1s" doc:"Pause between two reads of the instance list."`
}

// Addresses holds the URLs of the platform's services, for a program that is on
// no list itself.
type Addresses struct {
	LogService   string `key:"log-service" type:"url" required:"yes" doc:"Base URL of the log service."`
	InstanceList string `key:"instance-list" type:"url" required:"yes" doc:"Base URL of the instance list."`
}

// Shards tells how budgets are spread over streams.
type Shards struct {
	Shards int `key:"shards" min:"1" max:"1024" default:"1" doc:"Number of budget streams. It must be equal everywhere and can't be changed once budgets exist."`
}

// Budget is the policy by which an entry instance obtains tokens.
type Budget struct {
	Shards   int           `key:"shards" min:"1" max:"1024" default:"1" doc:"Number of budget streams. It must be equal everywhere and can't be changed once budgets exist."`
	Horizon  time.Duration `key:"horizon" min:"1s" max:"24h" default:"1m" doc:"How long the tokens held should last at the demand seen, should the log service be away."`
	LowWater Share         `key:"low-water" min:"1%" max:"99%" default:"50%" doc:"Share of the tokens wanted below which more are asked for."`
	Wait     time.Duration `key:"wait" min:"0s" max:"1m" default:"500ms" doc:"How long a request waits for tokens before it is refused."`
	Weight   string        `key:"weight" oneof:"refusals|balanced|overspend" default:"balanced" doc:"What to avoid first. It changes how many tokens are held in advance, and never the bound on spending."`
}

// Fleet says what is done about entry instances that are gone.
type Fleet struct {
	CloseAfter time.Duration `key:"close-after" min:"1s" max:"24h" default:"30s" doc:"How long an entry instance has to be missing from the instance list before its slices are closed. Being wrong costs no promise: an instance that was closed alive starts again with new slices."`
	Stagger    time.Duration `key:"stagger" min:"0s" max:"1h" default:"10s" doc:"How much longer each further instance waits before it closes the same one."`
}

// Limits bounds what callers may ask of an entry instance.
type Limits struct {
	Threads           int           `key:"threads" min:"1" max:"1024" default:"4" doc:"Processors that the process may use at one time. More of them cost more for each token, since they are woken for little work."`
	HeaderBytes       Bytes         `key:"header-bytes" min:"1KiB" max:"1MiB" default:"32KiB" doc:"Largest request header."`
	BodyBytes         Bytes         `key:"body-bytes" min:"1KiB" max:"256MiB" default:"8MiB" doc:"Largest request body."`
	Streams           int           `key:"streams" min:"1" max:"1000000" default:"4096" doc:"Requests that may be open at one time."`
	ReadTimeout       time.Duration `key:"read-timeout" min:"100ms" max:"10m" default:"10s" doc:"How long a caller may take to send a request."`
	FirstEventTimeout time.Duration `key:"first-event-timeout" min:"100ms" max:"1h" default:"1m" doc:"How long to wait for the first event of an attempt."`
	EventTimeout      time.Duration `key:"event-timeout" min:"100ms" max:"1h" default:"30s" doc:"How long to wait for each further event before the connection is taken for silent."`
	RetryShare        Share         `key:"retry-share" min:"1%" max:"100%" default:"10%" doc:"Attempts beyond the first, as a share of the requests."`
	Queue             int           `key:"queue" min:"0" max:"1000000" default:"256" doc:"Requests for one service that may wait for a target."`
}

// SideLimits bounds what a target may take.
type SideLimits struct {
	Threads           int           `key:"threads" min:"1" max:"1024" default:"2" doc:"Processors that the process may use at one time. The target needs the others."`
	FirstEventTimeout time.Duration `key:"first-event-timeout" min:"100ms" max:"1h" default:"1m" doc:"How long to wait for the first byte of the target's answer."`
	EventTimeout      time.Duration `key:"event-timeout" min:"100ms" max:"1h" default:"30s" doc:"How long to wait for each further byte before the connection is taken for silent."`
}

// Target describes the target that a side process stands beside.
type Target struct {
	URL          string        `key:"url" type:"url" required:"yes" doc:"Base URL of the target."`
	Slot         string        `key:"slot" type:"name" required:"yes" doc:"Name of the slot that the target and the side process share. It outlives both."`
	Service      string        `key:"service" type:"name" required:"yes" doc:"Catalogue entry of the service that the target belongs to."`
	Kind         string        `key:"kind" oneof:"model|app" required:"yes" doc:"How the target is called."`
	FenceChecked bool          `key:"fence-checked" default:"no" doc:"Whether the target refuses orders with an old fencing number."`
	Concurrent   int           `key:"concurrent" min:"1" max:"100000" default:"64" doc:"Requests that may run at the target at one time."`
	LoadTimeout  time.Duration `key:"load-timeout" min:"10s" max:"24h" default:"10m" doc:"How long another target of the service may take to load its weights before this side process takes it off the queue. It must be longer than a load takes; a wrong guess costs load on the weight store and nothing else."`
	Grace        time.Duration `key:"grace" min:"0s" max:"1h" default:"30s" doc:"How long a planned stop waits for the requests in progress."`
}

// Log says what is logged and how.
type Log struct {
	Level  string `key:"level" oneof:"debug|info|warn|error" default:"info" doc:"Least severe level that is logged."`
	Format string `key:"format" oneof:"text|json|logfmt" default:"text" doc:"Form of a line."`
	Layers Layers `key:"layers" doc:"Levels for single layers, such as entry=debug,budget=warn."`
}

// Trace says where spans go.
type Trace struct {
	Exporter string `key:"exporter" oneof:"none|stdout|stderr" default:"none" doc:"Where finished spans are written, as lines of JSON."`
	Sampled  Share  `key:"sampled" min:"0%" max:"100%" default:"1%" doc:"Share of the traces begun here that are recorded. A trace begun elsewhere keeps the decision made there."`
}

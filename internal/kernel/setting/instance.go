package setting

import (
	"fmt"
	"net"
	"os"
)

// Instance is the settings file of one entry instance.
type Instance struct {
	Name          string   `json:"name" need:"true" doc:"unique name of this instance"`
	Region        string   `json:"region" need:"true" doc:"region this instance runs in"`
	FailureDomain string   `json:"failure_domain" need:"true" doc:"failure domain this instance runs in"`
	Listen        string   `json:"listen" need:"true" doc:"address of the doors for callers, trainers and operators, host:port"`
	PeerListen    string   `json:"peer_listen" need:"true" doc:"address for other instances, host:port"`
	Peers         []string `json:"peers" doc:"peer addresses of a few other instances to join through"`
	KeyValue      Adapter  `json:"key_value" need:"true" doc:"the platform's key-value service"`
	Roster        Adapter  `json:"roster" need:"true" doc:"the platform's instance list"`
	DataFolder    string   `json:"data_folder" default:"" doc:"folder for bulk data; empty where the instance has no disk"`
	LogLevel      string   `json:"log_level" default:"info" oneof:"debug,info,warn,error" doc:"lowest level that is written"`
	Seed          uint64   `json:"seed" default:"0" doc:"seed of this instance's random choices; 0 takes one from the system"`
	MemoryMB      int      `json:"memory_mb" default:"0" min:"0" doc:"memory that this instance may use, in MiB; 0 is unknown, and buffers have no bound then"`
	BuffersShare  float64  `json:"buffers_share" default:"0.2" min:"0" max:"0.5" doc:"share of the memory for what is held for callers and upstreams; 0 means no bound"`
	Security      Security `json:"security" doc:"keys and certificates"`
}

// Adapter selects a platform adapter plug-in and the address that it connects to.
type Adapter struct {
	Adapter string `json:"adapter" default:"http" doc:"name of the adapter plug-in"`
	Address string `json:"address" need:"true" doc:"host:port"`
}

// Security holds keys and certificates. Without a certificate an instance listens
// on loopback only, unless PlainText is set.
type Security struct {
	PlainText   bool   `json:"plain_text" default:"false" doc:"allow listening beyond loopback without TLS"`
	OperatorKey string `json:"operator_key" default:"" doc:"bearer token for the operators' doors; empty leaves them open"`
	TrainerKey  string `json:"trainer_key" default:"" doc:"bearer token for the trainers' doors; empty leaves them open"`
	Certificate string `json:"certificate" default:"" doc:"PEM file of the doors' certificate; reloaded when it changes"`
	PrivateKey  string `json:"private_key" default:"" doc:"PEM file of the certificate's key"`
	// The peer files are for mutual TLS between instances.
	PeerCertificate string `json:"peer_certificate" default:"" doc:"PEM file of the certificate shown to other instances; reloaded when it changes"`
	PeerPrivateKey  string `json:"peer_private_key" default:"" doc:"PEM file of the peer certificate's key"`
	PeerAuthority   string `json:"peer_authority" default:"" doc:"PEM file of the authority that signs the peer certificates; read at each handshake"`
}

// Validate implements Validator.
func (s *Instance) Validate(string) []FieldError {
	var errs FieldErrors
	checkAddress(&errs, "listen", s.Listen)
	checkAddress(&errs, "peer_listen", s.PeerListen)
	for i, peer := range s.Peers {
		checkAddress(&errs, fmt.Sprintf("peers[%d]", i), peer)
	}
	checkAddress(&errs, "key_value.address", s.KeyValue.Address)
	checkAddress(&errs, "roster.address", s.Roster.Address)
	s.checkExposure(&errs)
	return errs
}

// checkExposure rejects listening beyond loopback without TLS, unless PlainText is
// set: anyone on the network could read prompts and change the configuration
// unnoticed. It also checks that certificate settings are complete.
func (s *Instance) checkExposure(errs *FieldErrors) {
	if (s.Security.Certificate == "") != (s.Security.PrivateKey == "") {
		errs.add("security.certificate", "certificate and private_key together", s.Security.Certificate, "set both or neither")
	}
	peerTLS := s.Security.PeerCertificate != ""
	if peerTLS != (s.Security.PeerPrivateKey != "") || peerTLS != (s.Security.PeerAuthority != "") {
		errs.add("security.peer_certificate", "peer_certificate, peer_private_key and peer_authority together",
			s.Security.PeerCertificate, "set all three or none")
	}
	if s.Security.PlainText {
		return
	}
	if s.Security.Certificate == "" && !isLoopback(s.Listen) {
		errs.add("listen", "a loopback address, as no certificate is set", s.Listen,
			"set security.certificate and private_key, or security.plain_text to true")
	}
	if !peerTLS && !isLoopback(s.PeerListen) {
		errs.add("peer_listen", "a loopback address, as peers talk in plain text", s.PeerListen,
			"set security.peer_certificate, or security.plain_text to true on a network that only instances share")
	}
}

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

// checkAddress adds an error unless address is an IP address with a port.
func checkAddress(errs *FieldErrors, path, address string) {
	host, _, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		errs.add(path, "an IP address and port", address, "write an address such as 127.0.0.1:7100")
	}
}

// ReadFile decodes the JSON file at path into v.
func ReadFile(path string, v any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read %s: %w; check the path", path, err)
	}
	return Decode(data, v)
}

package entry

import (
	"time"

	"github.com/jessevdk/go-flags"
)

// Settings are the settings of a process. Package go-flags reads them from flags and
// environment variables.
type Settings struct {
	Member string `long:"member" env:"CITRONKNOT_MEMBER" required:"true" description:"id of this entry instance"`
	Zone   string `long:"zone" env:"CITRONKNOT_ZONE" required:"true" description:"availability zone of this entry instance"`
	Region string `long:"region" env:"CITRONKNOT_REGION" default:"default" description:"region of the availability zone"`

	CallerAddr        string `long:"caller-listen" env:"CITRONKNOT_CALLER_LISTEN" default:"127.0.0.1:8080" description:"address of the callers' listener"`
	OperatorAddr      string `long:"operator-listen" env:"CITRONKNOT_OPERATOR_LISTEN" default:"127.0.0.1:8081" description:"address of the operators' listener"`
	PeerAddr          string `long:"peer-listen" env:"CITRONKNOT_PEER_LISTEN" default:"127.0.0.1:8082" description:"address of the peers' listener"`
	PeerAdvertiseAddr string `long:"peer-address" env:"CITRONKNOT_PEER_ADDRESS" description:"address at which other members reach the peers' listener; default: the address of the listener"`
	Platform          string `long:"platform" env:"CITRONKNOT_PLATFORM" default:"http://127.0.0.1:7000" description:"base URL of the platform"`

	OperatorCredential     string         `long:"operator-credential" env:"CITRONKNOT_OPERATOR_CREDENTIAL" default-mask:"-" description:"bearer credential of operators, 8 or more characters"`
	OperatorCredentialFile flags.Filename `long:"operator-credential-file" env:"CITRONKNOT_OPERATOR_CREDENTIAL_FILE" description:"file with the credential of operators, in place of --operator-credential"`
	PeerCredential         string         `long:"peer-credential" env:"CITRONKNOT_PEER_CREDENTIAL" default-mask:"-" description:"credential that members share, 8 or more characters"`
	PeerCredentialFile     flags.Filename `long:"peer-credential-file" env:"CITRONKNOT_PEER_CREDENTIAL_FILE" description:"file with the credential that members share, in place of --peer-credential"`

	CallerCert   flags.Filename `long:"caller-tls-cert" env:"CITRONKNOT_CALLER_TLS_CERT" description:"PEM certificate file of the callers' listener; without it the listener uses no TLS"`
	CallerKey    flags.Filename `long:"caller-tls-key" env:"CITRONKNOT_CALLER_TLS_KEY" description:"PEM key file of the callers' listener"`
	OperatorCert flags.Filename `long:"operator-tls-cert" env:"CITRONKNOT_OPERATOR_TLS_CERT" description:"PEM certificate file of the operators' listener"`
	OperatorKey  flags.Filename `long:"operator-tls-key" env:"CITRONKNOT_OPERATOR_TLS_KEY" description:"PEM key file of the operators' listener"`
	PeerCert     flags.Filename `long:"peer-tls-cert" env:"CITRONKNOT_PEER_TLS_CERT" description:"PEM certificate file of the peers' listener"`
	PeerKey      flags.Filename `long:"peer-tls-key" env:"CITRONKNOT_PEER_TLS_KEY" description:"PEM key file of the peers' listener"`

	MaxStaleness    time.Duration `long:"max-staleness" env:"CITRONKNOT_MAX_STALENESS" default:"3s" description:"maximum age of the configuration with which keys are accepted"`
	ShutdownDelay   time.Duration `long:"shutdown-delay" env:"CITRONKNOT_SHUTDOWN_DELAY" default:"1s" description:"time between failing readiness and closing the callers' listener"`
	ShutdownTimeout time.Duration `long:"shutdown-bound" env:"CITRONKNOT_SHUTDOWN_BOUND" default:"5m" description:"maximum wait for running requests during a graceful shutdown"`

	Weights string `long:"weights" env:"CITRONKNOT_WEIGHTS" default:"none" description:"objective by which instances move between pools: none, association or agency"`

	LogFormat string `long:"log-format" env:"CITRONKNOT_LOG_FORMAT" default:"text" description:"format of the log: text or json"`
	LogLevel  string `long:"log-level" env:"CITRONKNOT_LOG_LEVEL" default:"info" description:"minimum level of the log: debug, info, warn or error"`
}

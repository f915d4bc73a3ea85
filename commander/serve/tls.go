package serve

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/juju/errors"
	grpccredentials "google.golang.org/grpc/credentials"

	"github.com/coltsfootlever/coltsfootlever/messenger"
)

type (
	// TLS holds the files for encrypted connections. Without them connections
	// are not encrypted.
	TLS struct {
		Cert     string `arg:"--tls-cert,env:COLTSFOOTLEVER_TLS_CERT" placeholder:"FILE" help:"certificate shown to callers and operators"`
		Key      string `arg:"--tls-key,env:COLTSFOOTLEVER_TLS_KEY" placeholder:"FILE" help:"key of --tls-cert"`
		PeerCert string `arg:"--peer-cert,env:COLTSFOOTLEVER_PEER_CERT" placeholder:"FILE" help:"certificate shown to peers"`
		PeerKey  string `arg:"--peer-key,env:COLTSFOOTLEVER_PEER_KEY" placeholder:"FILE" help:"key of --peer-cert"`
		PeerCA   string `arg:"--peer-ca,env:COLTSFOOTLEVER_PEER_CA" placeholder:"FILE" help:"authority that peers' certificates must come from"`
	}

	// credentials holds the TLS configurations made from the files. Connections
	// whose configuration is nil are not encrypted.
	credentials struct {
		callers *tls.Config
		peers   *tls.Config
	}
)

// check returns an error for each group of files that is only partly set.
func (t TLS) check() []error {
	var faults []error
	if (t.Cert == "") != (t.Key == "") {
		faults = append(faults, errors.New("--tls-cert and --tls-key belong together: set both or neither"))
	}
	set := 0
	for _, file := range []string{t.PeerCert, t.PeerKey, t.PeerCA} {
		if file != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		faults = append(faults, errors.New("--peer-cert, --peer-key and --peer-ca belong together: set all or none"))
	}
	return faults
}

// load reads the certificate and key files.
func (t TLS) load() (credentials, error) {
	var c credentials
	if t.Cert != "" {
		cert, err := tls.LoadX509KeyPair(t.Cert, t.Key)
		if err != nil {
			return c, errors.Annotate(err, "certificate for callers")
		}
		c.callers = &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{cert}}
	}
	if t.PeerCert == "" {
		return c, nil
	}
	cert, err := tls.LoadX509KeyPair(t.PeerCert, t.PeerKey)
	if err != nil {
		return c, errors.Annotate(err, "certificate for peers")
	}
	pool, err := loadCertificateAuthority(t.PeerCA)
	if err != nil {
		return c, errors.Trace(err)
	}
	c.peers = &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}
	return c, nil
}

func loadCertificateAuthority(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Annotate(err, "authority for peers")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("authority for peers: %s holds no certificate in PEM form", file)
	}
	return pool, nil
}

func (c credentials) clientOptions() []messenger.ClientOption {
	if c.peers == nil {
		return nil
	}
	return []messenger.ClientOption{messenger.WithCredentials(grpccredentials.NewTLS(c.peers))}
}

func (c credentials) serverOptions() []messenger.ServerOption {
	if c.peers == nil {
		return nil
	}
	return []messenger.ServerOption{messenger.WithServerCredentials(grpccredentials.NewTLS(c.peers))}
}

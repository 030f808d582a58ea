// Package settings reads the settings files of the programs. A settings file is JSON with
// comments; each program has one. Each field has a description in its doc tag and, unless
// it is required, a default. Print writes both as a file to start from.
//
// A settings file contains no secrets. Fields whose name ends in _file name a file that
// contains a secret or a certificate; its content is neither printed nor logged.
package settings

import (
	"os"
	"strings"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("settings")

var (
	// ErrRead reports a settings file that can't be read.
	ErrRead = namespace.NewType("read")
	// ErrSecret reports a secret file that can't be read or is too short.
	ErrSecret = namespace.NewType("secret")
)

// minSecretBytes is the minimum length of a secret in bytes.
const minSecretBytes = 16

// Secret returns the secret in the file, without leading and trailing white space. It
// must have at least 16 bytes. Errors: ErrSecret; the message never contains the secret.
func Secret(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, ErrSecret.Wrap(err, "secret file")
	}
	secret := strings.TrimSpace(string(text))
	if len(secret) < minSecretBytes {
		return nil, ErrSecret.New("secret file %q contains fewer than %d bytes", path, minSecretBytes)
	}
	return []byte(secret), nil
}

// Package settings reads the settings files of the programs: JSON with
// comments, one file a program. Every field has a default and a sentence that
// says what it does; Print writes both out as a file to start from.
//
// Secrets are never in a settings file. Fields whose name ends in _file name a
// file that holds one; its content is neither printed nor logged.
package settings

import (
	"os"
	"strings"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("settings")

var (
	// ErrRead reports a file that can't be read.
	ErrRead = namespace.NewType("read")
	// ErrSecret reports a secret file that can't be read or is too short.
	ErrSecret = namespace.NewType("secret")
)

// minSecretBytes is the least length of a secret.
const minSecretBytes = 16

// Secret reads the secret in a file; white space around it is left out.
func Secret(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, ErrSecret.Wrap(err, "secret file")
	}
	secret := strings.TrimSpace(string(text))
	if len(secret) < minSecretBytes {
		return nil, ErrSecret.New("secret file %q holds fewer than %d bytes", path, minSecretBytes)
	}
	return []byte(secret), nil
}

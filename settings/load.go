package settings

import (
	"os"

	"github.com/poplarshore/poplarshore/strictjson"
)

// Settings are the settings of a program: *Entry, *Control or *Gateway.
type Settings interface {
	// check adds a fault to text for each invalid value.
	check(text *strictjson.Text)
}

// Load reads and validates a settings file. Fields that are absent from the file keep the
// values of dst, which contains the defaults. Errors: ErrRead; strictjson.ErrInvalid,
// which lists all faults of the file.
func Load(path string, dst Settings) error {
	src, err := os.ReadFile(path)
	if err != nil {
		return ErrRead.Wrap(err, "settings file")
	}
	return Parse(src, dst)
}

// Parse decodes and validates the content of a settings file. Fields that are absent from
// src keep the values of dst, which contains the defaults. Errors: strictjson.ErrInvalid,
// which lists all faults.
func Parse(src []byte, dst Settings) error {
	text := strictjson.Decode(src, dst)
	if len(text.Faults()) == 0 {
		dst.check(text)
	}
	return text.Faults().Err()
}

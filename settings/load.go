package settings

import (
	"os"

	"github.com/poplarshore/poplarshore/strictjson"
)

// Settings is the settings of a program, which can check themselves.
type Settings interface {
	// check adds a fault for each value that can't be used.
	check(text *strictjson.Text)
}

// Load reads a settings file over the defaults that dst holds. Errors: ErrRead,
// and ErrInvalid of strictjson with all faults of the file.
func Load(path string, dst Settings) error {
	src, err := os.ReadFile(path)
	if err != nil {
		return ErrRead.Wrap(err, "settings file")
	}
	return Parse(src, dst)
}

// Parse reads settings over the defaults that dst holds.
func Parse(src []byte, dst Settings) error {
	text := strictjson.Decode(src, dst)
	if len(text.Faults()) == 0 {
		dst.check(text)
	}
	return text.Faults().Err()
}

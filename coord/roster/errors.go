package roster

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("roster")

// ErrInvalid reports a digest with an update of an unsupported kind.
var ErrInvalid = namespace.NewType("invalid")

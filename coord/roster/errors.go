package roster

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("roster")

// ErrInvalid reports a digest with an unknown kind of sign.
var ErrInvalid = namespace.NewType("invalid")

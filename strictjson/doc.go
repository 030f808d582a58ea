// Package strictjson decodes JSON with comments into Go values and reports all faults
// of the text at once, each with its line and column: unknown and duplicate fields,
// wrong types and values out of range.
//
// The text is parsed by github.com/tailscale/hujson, which only this package imports: it
// parses recursively without a bound, so the nesting depth is checked first. Fields of structs are matched by
// the exact name in their json tag; fields without a tag are not decoded.
package strictjson

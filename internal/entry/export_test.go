package entry

// DecodeCompletion exports decodeCompletion for the fuzz test.
var DecodeCompletion = decodeCompletion

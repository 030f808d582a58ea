package entry

// DecodeCompletion is decodeCompletion for the fuzz test.
var DecodeCompletion = decodeCompletion

package main

// Names in the configuration of all cases.
const (
	host       = "permisos.example"
	key        = "key-of-hule930"
	tenant     = "hule930"
	llmService = "poplar-llm"
	appService = "permisos-app"
)

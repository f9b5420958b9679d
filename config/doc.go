// Package config loads and validates the settings of control hosts and nodes
// from YAML files.
//
//	cfg, err := config.LoadNode("node.yaml")
//
// Settings are read once, when the process starts.
package config

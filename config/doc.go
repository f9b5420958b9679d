// Package config reads the settings of the daemons from YAML files.
//
//	cfg, err := config.LoadNode("node.yaml")
//
// Its values live as long as the process.
package config

// Package strict decodes JSON and YAML documents from outside the fleet. It rejects a
// document of which a part would be altered or left out, where the decoders of the standard
// library replace or skip that part.
//
//	var p plan.Plan
//	err := strict.JSON(data, &p)
//
// A decoded value lives as long as the request or the settings file that it came with.
package strict

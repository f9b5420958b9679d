package spec

import (
	"bytes"
	"io"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"github.com/damaskpitch/damaskpitch/strict"
)

// MaxDocument is the maximum size of a file or request body with declarations,
// in bytes.
const MaxDocument = 4 << 20

// Parse decodes and checks the services in a YAML file, one per document.
func Parse(file string, data []byte) ([]Service, error) {
	if len(data) > MaxDocument {
		return nil, &FieldError{Field: file, Value: "", Want: "at most 4 MiB"}
	}
	if err := strict.CheckYAML(data); err != nil {
		return nil, errors.Mark(errors.Errorf("%s: %w", file, err), ErrInvalid)
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict())
	var services []Service
	for {
		var s Service
		err := decoder.Decode(&s)
		if errors.Is(err, io.EOF) {
			return services, nil
		}
		if err != nil {
			return nil, errors.Mark(errors.Errorf("%s: %w", file, err), ErrInvalid)
		}
		s = s.WithDefaults()
		if err := s.Check(); err != nil {
			return nil, errors.Errorf("%s: service %q: %w", file, s.Name, err)
		}
		services = append(services, s)
	}
}

// jsonName returns the field's JSON name, as validation errors report it.
func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

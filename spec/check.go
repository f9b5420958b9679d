package spec

import (
	"fmt"
	"regexp"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
)

// ErrInvalid matches every error about an invalid field value.
var ErrInvalid = errors.New("invalid value")

var _label = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// FieldError reports an invalid field, its value and what is expected.
type FieldError struct {
	Field string `json:"field"`
	Value string `json:"value"`
	Want  string `json:"want"`
}

// Error returns the field, its value and what is expected.
func (e *FieldError) Error() string {
	return fmt.Sprintf("field %s: value %q: want %s", e.Field, e.Value, e.Want)
}

// Is reports whether the target is ErrInvalid.
func (e *FieldError) Is(target error) bool {
	return target == ErrInvalid
}

// NewValidator returns a validator with the "label" rule that reports fields by
// their JSON names.
func NewValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	if err := v.RegisterValidation("label", isLabel); err != nil {
		panic(err)
	}
	return v
}

// AsFieldError converts the first validation error to a FieldError; any other
// error is returned as it is.
func AsFieldError(err error) error {
	var errs validator.ValidationErrors
	if !errors.As(err, &errs) || len(errs) == 0 {
		return err
	}
	first := errs[0]
	return &FieldError{
		Field: first.Namespace(),
		Value: fmt.Sprint(first.Value()),
		Want:  describeRule(first),
	}
}

var _validator = NewValidator()

// Check returns a FieldError for the first invalid field.
func (s Service) Check() error {
	if err := _validator.Struct(s); err != nil {
		return AsFieldError(err)
	}
	if s.Size > 0 && s.Floor > s.Size {
		return &FieldError{
			Field: "Service.floor",
			Value: fmt.Sprint(s.Floor),
			Want:  fmt.Sprintf("at most the service size of %d instances", s.Size),
		}
	}
	if s.Slots > s.Conns {
		return &FieldError{
			Field: "Service.slots",
			Value: fmt.Sprint(s.Slots),
			Want:  fmt.Sprintf("at most the limit of %d connections, as each request uses one", s.Conns),
		}
	}
	return s.checkRoutes()
}

// checkRoutes rejects duplicate routes; Once does not tell two routes apart.
func (s Service) checkRoutes() error {
	seen := make(map[Route]int, len(s.Routes))
	for i, r := range s.Routes {
		r.Once = false
		if first, ok := seen[r]; ok {
			return &FieldError{
				Field: fmt.Sprintf("Service.routes[%d]", i),
				Value: r.Method + " " + r.Host + r.Path,
				Want:  fmt.Sprintf("a route that differs from routes[%d]", first),
			}
		}
		seen[r] = i
	}
	return nil
}

func isLabel(field validator.FieldLevel) bool {
	return _label.MatchString(field.Field().String())
}

// describeRule returns what a failed validation rule expects.
func describeRule(e validator.FieldError) string {
	switch e.Tag() {
	case "label":
		return "a label of a-z, 0-9 and -, 63 bytes at most, starting with a letter"
	case "required":
		return "a value"
	case "ip_port":
		return "an IP address and port, such as 127.0.0.1:7000"
	default:
		return e.Tag() + " " + e.Param()
	}
}

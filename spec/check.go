package spec

import (
	"fmt"
	"regexp"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
)

// ErrInvalid marks every error about a field's value.
var ErrInvalid = errors.New("invalid value")

var _label = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// FieldError names the field that is wrong, its value and what was wanted.
type FieldError struct {
	Field string `json:"field"`
	Value string `json:"value"`
	Want  string `json:"want"`
}

// Error returns the field, its value and what was wanted.
func (e *FieldError) Error() string {
	return fmt.Sprintf("field %s: value %q: want %s", e.Field, e.Value, e.Want)
}

// Is reports whether the target is ErrInvalid.
func (e *FieldError) Is(target error) bool {
	return target == ErrInvalid
}

// NewValidator returns a validator that knows the labels of this package.
func NewValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	if err := v.RegisterValidation("label", isLabel); err != nil {
		panic(err)
	}
	return v
}

// AsFieldError turns the validator's first complaint into a FieldError.
func AsFieldError(err error) error {
	var list validator.ValidationErrors
	if !errors.As(err, &list) || len(list) == 0 {
		return err
	}
	first := list[0]
	return &FieldError{
		Field: first.Namespace(),
		Value: fmt.Sprint(first.Value()),
		Want:  wanted(first),
	}
}

var _validator = NewValidator()

// Check returns a FieldError for the first field that is out of range.
func (s Service) Check() error {
	if err := _validator.Struct(s); err != nil {
		return AsFieldError(err)
	}
	if s.Size > 0 && s.Floor > s.Size {
		return &FieldError{
			Field: "Service.floor",
			Value: fmt.Sprint(s.Floor),
			Want:  fmt.Sprintf("at most the size of %d instances", s.Size),
		}
	}
	if s.Slots > s.Conns {
		return &FieldError{
			Field: "Service.slots",
			Value: fmt.Sprint(s.Slots),
			Want:  fmt.Sprintf("at most the %d connections, as each request holds one", s.Conns),
		}
	}
	return s.checkRoutes()
}

func (s Service) checkRoutes() error {
	seen := make(map[Route]int, len(s.Routes))
	for i, r := range s.Routes {
		r.Once = false
		if first, ok := seen[r]; ok {
			return &FieldError{
				Field: fmt.Sprintf("Service.routes[%d]", i),
				Value: r.Method + " " + r.Host + r.Path,
				Want:  fmt.Sprintf("a route other than routes[%d]", first),
			}
		}
		seen[r] = i
	}
	return nil
}

func isLabel(field validator.FieldLevel) bool {
	return _label.MatchString(field.Field().String())
}

func wanted(e validator.FieldError) string {
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

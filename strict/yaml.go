package strict

import (
	"strings"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/token"
)

// replacement is what the YAML decoder puts in place of text that is no character.
const replacement = string(utf8.RuneError)

// CheckYAML returns an error for a YAML document in which the decoder would replace text:
// bytes that are not UTF-8, and escapes of what is no character.
func CheckYAML(data []byte) error {
	for offset := 0; offset < len(data); {
		r, size := utf8.DecodeRune(data[offset:])
		if r == utf8.RuneError && size == 1 {
			return errors.Errorf("byte %d: %w", offset, ErrEncoding)
		}
		offset += size
	}
	for _, t := range lexer.Tokenize(string(data)) {
		// The origin of a token has its text as it was written, but no escapes.
		if t.Type == token.DoubleQuoteType && strings.Count(t.Value, replacement) > strings.Count(t.Origin, replacement) {
			return errors.Errorf("line %d: %w", t.Position.Line, ErrEncoding)
		}
	}
	return nil
}

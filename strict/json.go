package strict

import (
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	jsonv1 "github.com/go-json-experiment/json/v1"
)

var (
	// ErrMalformed reports a document that cannot be read in full.
	ErrMalformed = errors.New("malformed document")
	// ErrEncoding reports a document that is not UTF-8, or that escapes what is no character.
	ErrEncoding = errors.New("text is not valid Unicode")
	// ErrRepeated reports a name that an object has more than once.
	ErrRepeated = errors.New("repeated name")
)

// jsonOptions match names as encoding/json does, so that documents that it reads unaltered
// mean the same here. A name that is repeated in another case counts as repeated.
var jsonOptions = json.JoinOptions(
	json.MatchCaseInsensitiveNames(true),
	jsonv1.MatchCaseSensitiveDelimiter(true),
)

// JSON decodes the only value of a document. It ignores fields that dst does not have.
func JSON(data []byte, dst any) error {
	return describe(data, json.Unmarshal(data, dst, jsonOptions))
}

// JSONFields is like JSON, but rejects fields that dst does not have.
func JSONFields(data []byte, dst any) error {
	return describe(data, json.Unmarshal(data, dst, jsonOptions, json.RejectUnknownMembers(true)))
}

// describe returns an error that says where a document is malformed, without quoting text,
// which may be a secret.
func describe(data []byte, err error) error {
	var syntax *jsontext.SyntacticError
	if !errors.As(err, &syntax) {
		return err
	}
	reason := ErrMalformed
	switch {
	case errors.Is(err, jsontext.ErrDuplicateName):
		reason = ErrRepeated
	case !utf8.Valid(data) || isSurrogate(data, syntax.ByteOffset):
		reason = ErrEncoding
	}
	return errors.Errorf("byte %d, at %q: %w", syntax.ByteOffset, syntax.JSONPointer, reason)
}

// isSurrogate reports whether an escaped surrogate begins at an offset.
func isSurrogate(data []byte, offset int64) bool {
	const length = len(`\ud`)
	if offset < 0 || offset+int64(length) > int64(len(data)) {
		return false
	}
	escape := data[offset : offset+int64(length)]
	return string(escape[:2]) == `\u` && (escape[2] == 'd' || escape[2] == 'D')
}

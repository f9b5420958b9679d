package plan

import (
	"cmp"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/spec"
)

const (
	// _digestPrefix marks a Key that holds a digest instead of the secret.
	_digestPrefix = "digest:"
	// _digestSize is the number of bytes of a SHA-256 hash that identify a key.
	_digestSize = 16
	// MaxKey is the maximum length of a key in bytes.
	MaxKey = 512
)

// errKeyType reports a key that is not a string. It does not quote the value.
var errKeyType = errors.New("a key must be a string")

// Customer is a party whose callers authenticate with its keys.
type Customer struct {
	Name string `json:"name"`
	Keys []Key  `json:"keys"`
	// Priority replaces the priority of the routes, unless it is nil.
	Priority *int `json:"priority,omitempty"`
	// Rate is the maximum number of requests a second that all nodes together send to
	// instances, 0 for no limit. Burst is how many requests may exceed it at once.
	Rate  float64 `json:"rate,omitempty"`
	Burst float64 `json:"burst,omitempty"`
}

// Key authenticates a customer. It holds the secret or, where that is not needed, its
// digest. Its text forms for logs and errors show neither.
type Key string

// Digest identifies a key without revealing it.
type Digest [_digestSize]byte

// DigestOf returns the digest of a secret. It does not allocate for keys of up to MaxKey
// bytes.
func DigestOf(secret string) Digest {
	var buffer [MaxKey]byte
	hash := sha256.Sum256(append(buffer[:0], secret...))
	return Digest(hash[:_digestSize])
}

// Digest returns the digest of the key's secret.
func (k Key) Digest() Digest {
	var d Digest
	encoded, ok := strings.CutPrefix(string(k), _digestPrefix)
	if !ok {
		return DigestOf(string(k))
	}
	decoded, err := base64.RawURLEncoding.DecodeString(encoded)
	if err != nil || len(decoded) != _digestSize {
		return DigestOf(string(k))
	}
	copy(d[:], decoded)
	return d
}

// WithoutSecret returns the key with only its digest.
func (k Key) WithoutSecret() Key {
	if strings.HasPrefix(string(k), _digestPrefix) {
		return k
	}
	d := k.Digest()
	return Key(_digestPrefix + base64.RawURLEncoding.EncodeToString(d[:]))
}

// UnmarshalJSON decodes a string. Its error does not quote the value.
func (k *Key) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errKeyType
	}
	*k = Key(text)
	return nil
}

// Format writes a placeholder, so that no log or error shows the key.
func (k Key) Format(f fmt.State, _ rune) {
	_, _ = f.Write([]byte("[key]"))
}

// LogValue returns a placeholder.
func (k Key) LogValue() slog.Value {
	return slog.StringValue("[key]")
}

// WithoutSecrets returns the customer with only the digests of its keys.
func (c Customer) WithoutSecrets() Customer {
	keys := make([]Key, 0, len(c.Keys))
	for _, k := range c.Keys {
		keys = append(keys, k.WithoutSecret())
	}
	c.Keys = keys
	return c
}

// WithoutSecrets returns the plan with only the digests of keys.
func (p Plan) WithoutSecrets() Plan {
	p.Customers = withoutSecrets(p.Customers)
	return p
}

// WithoutSecrets returns the patch with only the digests of keys.
func (p Patch) WithoutSecrets() Patch {
	p.Put.Customers = withoutSecrets(p.Put.Customers)
	return p
}

func withoutSecrets(customers []Customer) []Customer {
	if len(customers) == 0 {
		return customers
	}
	list := make([]Customer, 0, len(customers))
	for _, c := range customers {
		list = append(list, c.WithoutSecrets())
	}
	return list
}

// check returns a spec.FieldError for the first invalid field.
func (c Customer) check() error {
	switch {
	case !isHeaderText(c.Name, _maxName):
		return c.fieldError("name", fmt.Sprintf("%.40q", c.Name), "1 to 253 printable ASCII characters without spaces")
	case !isLimit(c.Rate):
		return c.fieldError("rate", fmt.Sprint(c.Rate), "0 or more")
	case !isLimit(c.Burst):
		return c.fieldError("burst", fmt.Sprint(c.Burst), "0 or more")
	}
	for _, k := range c.Keys {
		if !isHeaderText(string(k), MaxKey) {
			return c.fieldError("keys", "", "keys of 1 to 512 printable ASCII characters without spaces")
		}
	}
	return nil
}

func (c Customer) fieldError(field, value, want string) error {
	return &spec.FieldError{Field: fmt.Sprintf("Plan.customers[%.40s].%s", c.Name, field), Value: value, Want: want}
}

func isLimit(n float64) bool {
	return n >= 0 && !math.IsInf(n, 0)
}

// isHeaderText reports whether a text can be sent as a word in a header.
func isHeaderText(text string, maxLen int) bool {
	unprintable := func(r rune) bool { return r <= ' ' || r >= 0x7f }
	return text != "" && len(text) <= maxLen && !strings.ContainsFunc(text, unprintable)
}

// checkCustomers checks each customer, and that no two share a name or a key.
func checkCustomers(customers []Customer) error {
	names := make(map[string]bool, len(customers))
	owners := make(map[Digest]string, len(customers))
	for _, c := range customers {
		if err := c.check(); err != nil {
			return err
		}
		if names[c.Name] {
			return c.fieldError("name", c.Name, "a unique name")
		}
		names[c.Name] = true
		for _, k := range c.Keys {
			digest := k.Digest()
			if owner, taken := owners[digest]; taken && owner != c.Name {
				return c.fieldError("keys", "", fmt.Sprintf("no key of another customer; %q has it too", owner))
			}
			owners[digest] = c.Name
		}
	}
	return nil
}

func (c Customer) equal(o Customer) bool {
	priority := func(p *int) int {
		if p == nil {
			return math.MinInt
		}
		return *p
	}
	return c.Name == o.Name && slices.Equal(c.Keys, o.Keys) && cmp.Compare(priority(c.Priority), priority(o.Priority)) == 0 &&
		c.Rate == o.Rate && c.Burst == o.Burst
}

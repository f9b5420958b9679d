package route

import (
	"cmp"
	"encoding/base64"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/damaskpitch/damaskpitch/view"
)

const (
	// MaxReports is the maximum number of reports in a message.
	MaxReports = 12
	// _maxRefusalReports is how many of them may be about instances that refuse
	// requests. The others say where there is room.
	_maxRefusalReports = 8

	// _maxFarReports and _maxFarRefusalReports apply to a node in another data centre. Four
	// reports are 38 bytes in a header.
	_maxFarReports        = 4
	_maxFarRefusalReports = 2
	// _maxTold bounds the nodes for which it is known what they were told.
	_maxTold = 256

	// _reportSize is the size of an encoded report: a hash of the key, the number of
	// active attempts, the age, and how long the instance refuses requests.
	_reportSize = 4 + 1 + 1 + 1
	// _ageUnit and _refusalUnit are the units of the encoded times.
	_ageUnit     = 10 * time.Millisecond
	_refusalUnit = 20 * time.Millisecond
	_maxEncoded  = 255
	_maxAge      = _maxEncoded * _ageUnit
)

// errMalformedReports reports an encoding of reports that cannot be decoded.
var errMalformedReports = errors.New("malformed load reports")

// Report is what one ingress tells another about the load of an instance.
type Report struct {
	// Hash identifies the instance within its service.
	Hash uint32
	// Active is the number of running and queued attempts at the instance.
	Active int
	// Age is the time since the instance's owner said so.
	Age time.Duration
	// RefusesFor is how much longer the owner refuses requests that another instance
	// could serve, or 0.
	RefusesFor time.Duration
}

// hashOf returns the hash that identifies an instance in reports.
func hashOf(k view.Key) uint32 {
	return uint32(xxhash.Sum64String(k.String()))
}

// Receiver is the node that reports are meant for.
type Receiver struct {
	// Node is its name. If it is empty, reports are repeated whether or not it has them.
	Node string
	// Far marks a node in another data centre. It gets few reports, mostly about the
	// instances of the sender's data centre, as it hears of the others from their own.
	Far bool
	// Except is an instance that nothing needs to be told about.
	Except view.Key
}

// Reports returns what is worth telling about the instances of a pool, except one: the
// newest refusals, and the newest loads of the others.
func (t *LoadTracker) Reports(p Pool, at time.Duration, except view.Key) []Report {
	return t.ReportsTo(p, at, Receiver{Except: except})
}

// ReportsTo returns what is worth telling to a node and has not been told to it: the newest
// refusals, and the newest loads of the others.
func (t *LoadTracker) ReportsTo(p Pool, at time.Duration, to Receiver) []Report {
	maxReports, maxRefusals := MaxReports, _maxRefusalReports
	if to.Far {
		maxReports, maxRefusals = _maxFarReports, _maxFarRefusalReports
	}
	told := t.tell(to.Node, at)
	var refusing, others []Report
	for i, c := range p.Candidates {
		l, known := t.loads[c.Key]
		age := at - l.ReportedAt
		if !known || l.ReportedAt == 0 || c.Key == to.Except || age > _maxAge || age >= _loadMaxAge && at >= l.RefusesUntil {
			continue
		}
		if to.Node != "" && (c.Key.Node == to.Node || !t.isNews(c.Key, l, to.Node, told)) {
			continue
		}
		if to.Far && i >= p.LocalCount {
			continue
		}
		r := Report{Hash: c.hash, Active: l.Active, Age: age, RefusesFor: max(0, l.RefusesUntil-at)}
		if r.RefusesFor > 0 {
			refusing = append(refusing, r)
		} else {
			others = append(others, r)
		}
	}
	newestFirst := func(a, b Report) int { return cmp.Compare(a.Age, b.Age) }
	slices.SortFunc(refusing, newestFirst)
	slices.SortFunc(others, newestFirst)
	refusing = refusing[:min(len(refusing), maxRefusals)]
	return append(refusing, others[:min(len(others), maxReports-len(refusing))]...)
}

// isNews reports whether a load became known after a time, and not from the node itself.
func (t *LoadTracker) isNews(k view.Key, l Load, node string, after time.Duration) bool {
	m := t.merged[k]
	if m.at < l.ReportedAt {
		return l.ReportedAt > after
	}
	return m.from != node && m.at > after
}

// tell records that a node is told what is known, and returns when it was last told. A
// message that is lost costs at most an attempt at an instance that refuses it.
func (t *LoadTracker) tell(node string, at time.Duration) time.Duration {
	if node == "" {
		return 0
	}
	if len(t.told) >= _maxTold {
		maps.DeleteFunc(t.told, func(_ string, toldAt time.Duration) bool { return at-toldAt > _maxAge })
	}
	if len(t.told) >= _maxTold {
		clear(t.told)
	}
	if t.told == nil {
		t.told = map[string]time.Duration{} // most services are never reported on
	}
	last := t.told[node]
	t.told[node] = at
	return last
}

// Merge takes over the reports that are newer than what is known.
func (t *LoadTracker) Merge(p Pool, reports []Report, at time.Duration) {
	t.MergeFrom("", p, reports, at)
}

// MergeFrom is like Merge, and records the node for ReportsTo.
func (t *LoadTracker) MergeFrom(node string, p Pool, reports []Report, at time.Duration) {
	if len(reports) == 0 {
		return
	}
	byHash := make(map[uint32]Report, len(reports))
	for _, r := range reports {
		byHash[r.Hash] = r
	}
	for _, c := range p.Candidates {
		r, ok := byHash[c.hash]
		reportedAt := at - r.Age
		if !ok || reportedAt <= t.loads[c.Key].ReportedAt {
			continue
		}
		t.Update(c.Key, func(l *Load) {
			l.Active, l.ReportedAt = r.Active, reportedAt
			l.RefusesUntil = at + r.RefusesFor
		})
		if t.merged == nil {
			t.merged = map[view.Key]merge{}
		}
		t.merged[c.Key] = merge{at: at, from: node}
	}
}

// EncodeReports returns the reports as text for a header.
func EncodeReports(reports []Report) string {
	data := make([]byte, 0, len(reports)*_reportSize)
	for _, r := range reports {
		data = binary.BigEndian.AppendUint32(data, r.Hash)
		data = append(data, encodeUnits(time.Duration(r.Active), 1))
		// An age is rounded up and a refusal down: a report that passes through many
		// nodes gets older and ends in time.
		data = append(data, encodeUnits(r.Age+_ageUnit-1, _ageUnit), encodeUnits(r.RefusesFor, _refusalUnit))
	}
	return base64.RawStdEncoding.EncodeToString(data)
}

// DecodeReports returns the reports in a header's text. It returns an error for text
// that EncodeReports does not produce.
func DecodeReports(text string) ([]Report, error) {
	data, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil || len(data)%_reportSize != 0 || len(data) > MaxReports*_reportSize {
		return nil, errors.Errorf("%d bytes: %w", len(text), errMalformedReports)
	}
	reports := make([]Report, 0, len(data)/_reportSize)
	for ; len(data) > 0; data = data[_reportSize:] {
		reports = append(reports, Report{
			Hash:       binary.BigEndian.Uint32(data),
			Active:     int(data[4]),
			Age:        time.Duration(data[5]) * _ageUnit,
			RefusesFor: time.Duration(data[6]) * _refusalUnit,
		})
	}
	return reports, nil
}

// encodeUnits returns the number of whole units in d, as far as it fits into a byte.
func encodeUnits(d, unit time.Duration) byte {
	return byte(min(max(0, d/unit), _maxEncoded))
}

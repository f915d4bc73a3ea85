package excluder

import (
	"maps"
	"slices"
	"strings"
	"time"
	"unicode"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/parser"
)

type (
	// Record is the stored record of all evacuated zones.
	Record struct {
		Number uint64       `json:"number"`          // increases by one with each change
		Zones  []Evacuation `json:"zones,omitempty"` // sorted by zone
	}

	// Evacuation is one evacuated zone.
	Evacuation struct {
		Zone        string    `json:"zone"`
		RequestedBy string    `json:"asked"` // operator key that requested it
		Since       time.Time `json:"since"`
		Comment     string    `json:"comment"`
		Op          string    `json:"op"` // identity of the request
	}

	// Request asks for the evacuation or the restoring of a zone.
	Request struct {
		Zone        string
		RequestedBy string
		Comment     string // for an evacuation
		Force       bool   // evacuate the last zone that has instances in service
	}

	// InService counts the instances in service by zone. It contains every known
	// zone, also those without an instance in service.
	InService map[string]int
)

// Find returns the evacuation of a zone.
func (r Record) Find(zone string) (Evacuation, bool) {
	for _, e := range r.Zones {
		if e.Zone == zone {
			return e, true
		}
	}
	return Evacuation{}, false
}

// names returns the names of the evacuated zones.
func (r Record) names() []string {
	list := make([]string, 0, len(r.Zones))
	for _, e := range r.Zones {
		list = append(list, e.Zone)
	}
	return list
}

// with returns the next record, in which e replaces any evacuation of its zone.
func (r Record) with(e Evacuation) Record {
	next := r.without(e.Zone)
	next.Zones = append(next.Zones, e)
	slices.SortFunc(next.Zones, func(a, b Evacuation) int { return strings.Compare(a.Zone, b.Zone) })
	return next
}

// without returns the next record, in which the zone is not evacuated.
func (r Record) without(zone string) Record {
	zones := slices.DeleteFunc(slices.Clone(r.Zones), func(e Evacuation) bool { return e.Zone == zone })
	return Record{Number: r.Number + 1, Zones: zones}
}

// newer returns the record with the higher number.
func newer(a, b Record) Record {
	if b.Number > a.Number {
		return b
	}
	return a
}

// checkKnown returns a refusal that lists the known zones unless the zone is one
// of them.
func (s InService) checkKnown(zone string) error {
	if _, ok := s[zone]; ok {
		return nil
	}
	return classifier.Refuse(classifier.NotFound, "unknown zone %q; known zones: %s", zone, listOrNone(slices.Sorted(maps.Keys(s))))
}

// checkEvacuation returns a refusal if the zone may not be evacuated in addition
// to those in r.
func (s InService) checkEvacuation(r Record, req Request) error {
	if err := s.checkKnown(req.Zone); err != nil {
		return err
	}
	if e, ok := r.Find(req.Zone); ok {
		return classifier.Refuse(classifier.Conflict, "zone %q is already evacuated by %s since %s: %s",
			e.Zone, e.RequestedBy, e.Since.Format(time.RFC3339), e.Comment)
	}
	if req.Force || s[req.Zone] == 0 {
		return nil
	}
	for zone, count := range s {
		if _, evacuated := r.Find(zone); !evacuated && zone != req.Zone && count > 0 {
			return nil
		}
	}
	return classifier.Refuse(classifier.NoCapacity, "zone %q is the last one with instances in service (%d): nothing could run; add --force to evacuate it all the same",
		req.Zone, s[req.Zone])
}

// checkRestore returns a refusal if the zone is not evacuated.
func (s InService) checkRestore(r Record, zone string) error {
	if _, ok := r.Find(zone); ok {
		return nil
	}
	if err := s.checkKnown(zone); err != nil {
		return err
	}
	return classifier.Refuse(classifier.NotFound, "zone %q is not evacuated; evacuated zones: %s", zone, listOrNone(r.names()))
}

// checkComment returns a refusal unless the comment is one line of text that is
// not longer than the comment of a rule.
func checkComment(zone, comment string) error {
	switch {
	case strings.TrimSpace(comment) == "":
		return classifier.Refuse(classifier.BadRequest, "zone %q: the comment is %q; allowed: a text that says why", zone, comment)
	case len(comment) > parser.MaxCommentBytes:
		return classifier.Refuse(classifier.BadRequest, "zone %q: the comment has %d bytes; allowed: at most %d", zone, len(comment), parser.MaxCommentBytes)
	case strings.ContainsFunc(comment, unicode.IsControl):
		return classifier.Refuse(classifier.BadRequest, "zone %q: the comment is %q; allowed: one line without control characters", zone, comment)
	}
	return nil
}

func listOrNone(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}

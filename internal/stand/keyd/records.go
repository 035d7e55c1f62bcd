package keyd

import (
	"encoding/json"
	"strings"

	"github.com/beryllanding/beryllanding/pkg/keyed"
	"github.com/beryllanding/beryllanding/pkg/roster"
	"github.com/beryllanding/beryllanding/pkg/table"
)

// Records decodes records that hold the types of packages table and roster as JSON. The
// key of a target's record is the target's id.
type Records struct{}

// Table decodes a configuration.
func (Records) Table(e keyed.Entry) (*table.Table, error) {
	if strings.HasPrefix(e.Key, EvacuationPrefix) {
		return nil, nil
	}
	t := &table.Table{}
	return t, json.Unmarshal(e.Value, t)
}

// Target decodes a target.
func (Records) Target(e keyed.Entry) (t roster.Target, err error) {
	err = json.Unmarshal(e.Value, &t)
	return t, err
}

// EvacuationPrefix begins the keys of the records that evacuate a data centre.
const EvacuationPrefix = "evacuate/"

// Evacuation returns the data centre that a record evacuates while it exists, and whether it
// is such a record.
func (Records) Evacuation(key string) (dataCentre string, ok bool) {
	return strings.CutPrefix(key, EvacuationPrefix)
}

// TargetID returns the key as the id of the target. It reports false for an empty key.
func (Records) TargetID(key string) (id string, ok bool) { return key, key != "" }

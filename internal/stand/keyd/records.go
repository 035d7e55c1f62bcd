package keyd

import (
	"encoding/json"

	"github.com/beryllanding/beryllanding/pkg/keyed"
	"github.com/beryllanding/beryllanding/pkg/roster"
	"github.com/beryllanding/beryllanding/pkg/table"
)

// Records decodes records that hold the types of packages table and roster as JSON. The
// key of a target's record is the target's id.
type Records struct{}

// Table decodes a configuration.
func (Records) Table(e keyed.Entry) (*table.Table, error) {
	t := &table.Table{}
	return t, json.Unmarshal(e.Value, t)
}

// Target decodes a target.
func (Records) Target(e keyed.Entry) (t roster.Target, err error) {
	err = json.Unmarshal(e.Value, &t)
	return t, err
}

// TargetID returns the key as the id of the target. It reports false for an empty key.
func (Records) TargetID(key string) (id string, ok bool) { return key, key != "" }

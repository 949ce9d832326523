package converter

import (
	"encoding/json"

	"github.com/ansel1/merry/v2"
)

// adaptersMember is the member that differs between the schema versions 1 and 2 of a model: in 1 it lists the names of
// the adapters, in 2 it lists objects that may restrict an adapter to versions of the model.
const adaptersMember = "adapters"

// upgradeModel converts a model from schema version 1 to 2: each adapter is compatible with all versions.
func upgradeModel(body jsonObject) error {
	raw, found := body[adaptersMember]
	if !found {
		return nil
	}
	var names []string
	if err := json.Unmarshal(raw, &names); err != nil {
		return merry.Prepend(err, adaptersMember)
	}
	upgraded := make([]map[string]string, 0, len(names))
	for _, name := range names {
		upgraded = append(upgraded, map[string]string{"name": name})
	}
	return setMember(body, adaptersMember, upgraded)
}

// downgradeModel converts a model from schema version 2 to 1. It fails with ErrLossy if an adapter has members other
// than its name, or if there are policies of stages, which a reader of version 1 does not apply.
func downgradeModel(body jsonObject) error {
	if _, found := body["stages"]; found {
		return merry.Prepend(ErrLossy, "stages")
	}
	raw, found := body[adaptersMember]
	if !found {
		return nil
	}
	var objects []jsonObject
	if err := json.Unmarshal(raw, &objects); err != nil {
		return merry.Prepend(err, adaptersMember)
	}
	names := make([]json.RawMessage, 0, len(objects))
	for i, object := range objects {
		if len(object) != 1 || object["name"] == nil {
			return merry.Prependf(ErrLossy, "%s[%d]", adaptersMember, i)
		}
		names = append(names, object["name"])
	}
	return setMember(body, adaptersMember, names)
}

// setMember encodes a value and sets it as a member of the body.
func setMember(body jsonObject, name string, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return merry.Prepend(err, name)
	}
	body[name] = encoded
	return nil
}

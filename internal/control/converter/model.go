package converter

import (
	"encoding/json"

	"github.com/ansel1/merry/v2"
)

// adapters is the member that differs between the schema versions 1 and 2 of a model: 1 lists the adapters' names, 2
// lists objects that may tie an adapter to versions of the model.
const adapters = "adapters"

// raiseModel converts a model from schema version 1 to 2: each adapter fits every version.
func raiseModel(body fields) error {
	raw, found := body[adapters]
	if !found {
		return nil
	}
	var names []string
	if err := json.Unmarshal(raw, &names); err != nil {
		return merry.Prepend(err, adapters)
	}
	raised := make([]map[string]string, 0, len(names))
	for _, name := range names {
		raised = append(raised, map[string]string{"name": name})
	}
	return set(body, adapters, raised)
}

// lowerModel converts a model from schema version 2 to 1. An adapter that says more than its name is a loss, and so
// are the policies of stages, which a reader of version 1 does not follow.
func lowerModel(body fields) error {
	if _, found := body["stages"]; found {
		return merry.Prepend(ErrLoss, "stages")
	}
	raw, found := body[adapters]
	if !found {
		return nil
	}
	var objects []fields
	if err := json.Unmarshal(raw, &objects); err != nil {
		return merry.Prepend(err, adapters)
	}
	names := make([]json.RawMessage, 0, len(objects))
	for i, object := range objects {
		if len(object) != 1 || object["name"] == nil {
			return merry.Prependf(ErrLoss, "%s[%d]", adapters, i)
		}
		names = append(names, object["name"])
	}
	return set(body, adapters, names)
}

// set encodes a value as a member of the body.
func set(body fields, name string, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return merry.Prepend(err, name)
	}
	body[name] = encoded
	return nil
}

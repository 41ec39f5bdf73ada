package platform

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"

	"maddergap/internal/settings"
)

// ChangesWithoutEffect returns the keys by which a configuration that is reloaded differs from
// this one, the running one's, and which take effect at a restart only though a reload accepts
// them. The scheduler's settings are not among them: a reload that changes those is rejected.
func (c *Config) ChangesWithoutEffect(next *Config) (keys []string) {
	if next.InstanceName != c.InstanceName {
		keys = append(keys, "name")
	}
	if next.Gateway.Seed != c.Gateway.Seed {
		keys = append(keys, "seed")
	}
	return append(keys, changedSettings(c.Settings, next.Settings)...)
}

// changedSettings returns the keys of the settings that differ, those of an object as
// "object.key", in order.
func changedSettings(a, b *settings.Site) (keys []string) {
	before, after := settingsByKey(a), settingsByKey(b)
	for _, key := range slices.Sorted(maps.Keys(after)) {
		if !reflect.DeepEqual(before[key], after[key]) {
			keys = append(keys, "settings."+key)
		}
	}
	return keys
}

// settingsByKey returns the values of the settings by their keys in the file.
func settingsByKey(site *settings.Site) map[string]any {
	data, err := json.Marshal(site)
	var object map[string]any
	if err != nil || json.Unmarshal(data, &object) != nil {
		return nil // a Site always can be marshalled
	}
	values := map[string]any{}
	for key, value := range object {
		inner, ok := value.(map[string]any)
		if !ok {
			values[key] = value
			continue
		}
		for innerKey, innerValue := range inner {
			values[key+"."+innerKey] = innerValue
		}
	}
	return values
}

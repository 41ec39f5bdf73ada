package platform

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"

	"maddergap/internal/settings"
)

// ChangesWithoutEffect compares c, the running configuration, with next, a reloaded one. It returns
// the keys that differ and that a reload accepts although they take effect only after a restart. A
// change of the scheduler's settings is not such a key: the reload is rejected.
func (c *Config) ChangesWithoutEffect(next *Config) (keys []string) {
	if next.InstanceName != c.InstanceName {
		keys = append(keys, "name")
	}
	if next.Gateway.Seed != c.Gateway.Seed {
		keys = append(keys, "seed")
	}
	return append(keys, changedSettings(c.Settings, next.Settings)...)
}

// changedSettings returns the sorted keys of the settings that differ, each as "settings.key" or, for
// a key within an object, "settings.object.key".
func changedSettings(a, b *settings.Site) (keys []string) {
	before, after := settingsByKey(a), settingsByKey(b)
	for _, key := range slices.Sorted(maps.Keys(after)) {
		if !reflect.DeepEqual(before[key], after[key]) {
			keys = append(keys, "settings."+key)
		}
	}
	return keys
}

// settingsByKey returns the values of the settings by their JSON keys. A key within an object has the
// form "object.key".
func settingsByKey(site *settings.Site) map[string]any {
	data, err := json.Marshal(site)
	var object map[string]any
	if err != nil || json.Unmarshal(data, &object) != nil {
		return nil // unreachable: a Site can always be marshalled
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

package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"maddergap/internal/config"
	"maddergap/internal/discovery"
	"maddergap/internal/settings"
	"maddergap/scheduler"
)

// maxFileBytes is the maximum size of the configuration file.
const maxFileBytes = 16 << 20

// configFile is the JSON form of the platform's configuration.
type configFile struct {
	Name      string `json:"name"`      // name of the instance
	Listen    string `json:"listen"`    // host:port
	Discovery string `json:"discovery"` // host:port
	Seed      string `json:"seed"`      // 16 hex digits
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"` // open descriptors
	} `json:"limits"`
	Known    *discovery.EndpointList `json:"known"` // initial node list
	Settings *settings.Site          `json:"settings"`
}

// Config is the checked configuration that the platform gives an instance.
type Config struct {
	InstanceName  string
	DiscoveryAddr string                  // host:port
	InitialList   *discovery.EndpointList // node list from the configuration, possibly outdated; nil if none
	Settings      *settings.Site
	Gateway       *config.Config
	Bounds        Bounds
}

// ConfigError reports a mistake in the platform's configuration. Err may be an error of package json,
// settings, admission or scheduler.
type ConfigError struct {
	File string
	Err  error // names the key
}

func (e *ConfigError) Error() string { return e.File + ": " + e.Err.Error() }

func (e *ConfigError) Unwrap() error { return e.Err }

// Load reads the configuration file whose path is in the environment variable EnvConfig. It returns an
// error of package os or of Parse, or an error that reports a missing variable or too large a file.
func Load(env func(string) string) (*Config, error) {
	path := env(EnvConfig)
	if path == "" {
		return nil, fmt.Errorf("%s is not set", EnvConfig)
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("%s has %d bytes, more than the limit of %d", path, info.Size(), maxFileBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, data, env)
}

// Parse parses and checks a configuration. path is the path of the file, for error messages. A name or
// address that is missing in the file is taken from the environment. The error contains a *ConfigError
// for each mistake.
func Parse(path string, data []byte, env func(string) string) (*Config, error) {
	var f configFile
	if err := json.Unmarshal(data, &f); err != nil {
		return nil, &ConfigError{path, err}
	}
	f.addEnvironment(env)
	seed, bounds, errs := f.check()
	if len(errs) > 0 {
		return nil, joinConfigErrors(path, errs)
	}
	c := &Config{
		InstanceName:  f.Name,
		DiscoveryAddr: f.Discovery,
		InitialList:   f.Known,
		Settings:      f.Settings,
		Gateway:       gatewayConfig(path, f.Listen, seed, f.Settings, bounds),
		Bounds:        bounds,
	}
	if _, err := scheduler.New(c.Gateway.Scheduler, 0, 0); err != nil {
		return nil, &ConfigError{path, err}
	}
	if err := c.Gateway.Admission.Check(); err != nil {
		return nil, &ConfigError{path, err}
	}
	return c, nil
}

// joinConfigErrors joins the errors, each in a ConfigError of the file.
func joinConfigErrors(path string, errs []error) error {
	var configErrors []error
	for _, err := range errs {
		configErrors = append(configErrors, &ConfigError{path, err})
	}
	return errors.Join(configErrors...)
}

// addEnvironment sets the name and addresses that are missing in the file from the environment.
func (f *configFile) addEnvironment(env func(string) string) {
	setDefault := func(value *string, variable string) {
		if *value == "" {
			*value = env(variable)
		}
	}
	setDefault(&f.Name, EnvName)
	setDefault(&f.Listen, EnvListen)
	setDefault(&f.Discovery, EnvDiscovery)
}

// check returns the mistakes in the file, in a fixed order. seed and bounds are the values computed
// from it; they are valid if there is no mistake.
func (f *configFile) check() (seed uint64, bounds Bounds, errs []error) {
	addError := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	if _, err := netip.ParseAddrPort(f.Listen); err != nil {
		addError("listen %q (or %s) is not an address and port", f.Listen, EnvListen)
	}
	if _, err := netip.ParseAddrPort(f.Discovery); err != nil {
		addError("discovery %q (or %s) is not an address and port", f.Discovery, EnvDiscovery)
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		addError("seed %q is not a number of 16 hex digits", f.Seed)
	}
	if f.Settings == nil {
		addError("settings are missing")
		return seed, bounds, errs
	}
	if err := f.Settings.Validate(); err != nil {
		errs = append(errs, err)
	}
	bounds, err = newBounds(f.Limits.Sockets, f.Limits.MemoryMB)
	if err != nil {
		errs = append(errs, err)
	}
	return seed, bounds, errs
}

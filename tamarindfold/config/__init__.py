"""Configuration: YAML files read into validated objects, and the gateway settings derived from them."""

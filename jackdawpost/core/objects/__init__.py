"""Configuration objects: data model, validation and change sets."""

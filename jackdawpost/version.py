"""Version of the package, read by the build and by all programs."""

__version__ = '0.1.0'

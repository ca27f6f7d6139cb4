"""Version of the package, read by the build and by every program."""

__version__ = '0.1.0'

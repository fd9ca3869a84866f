"""Small stand-ins for what the platform gives, with fault knobs; not part of the service."""

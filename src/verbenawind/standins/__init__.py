"""Test doubles of the platform and the backend servers, with fault injection; not in production."""

"""Errors of the mesh library."""

from filbertlift_core import exceptions


class MeshError(exceptions.FilbertliftError):
    """Base of the errors of this library."""

    code = "FL-MESH"


class ConfigurationError(MeshError):
    """A configuration is not complete or not consistent; none of it is used."""

    code = "FL-MESH-CONFIGURATION"


class BacklogError(MeshError):
    """A released slot was not held."""

    code = "FL-MESH-BACKLOG"


class DeltaError(MeshError):
    """A delta does not fit the value that it is applied to."""

    code = "FL-MESH-DELTA"

"""Time at which the store took a new head."""

from typing import Any

from filbertlift_harness import deployment as deployments
from filbertlift_harness import exceptions
from filbertlift_standins import client


class HeadWatch:
    """Learns from the store when a new head was written."""

    def __init__(self, deployment: deployments.Deployment) -> None:
        self._deployment = deployment
        self._client = client.Client(deployment.reactor, connections=1)

    def start(self) -> Any:
        """Returns a Deferred of the time at which the head changes."""
        return self._read().addCallback(self._wait)

    def _read(self) -> Any:
        return self._client.request(self._deployment.store, "GET", self._path)

    def _wait(self, response: client.Response) -> Any:
        revision = response.headers.get("revision", "0")
        result = self._client.request(
            self._deployment.store,
            "GET",
            f"{self._path}?after={revision}&wait=40",
            timeout_s=45.0,
        )
        return result.addCallback(self._note)

    def _note(self, response: client.Response) -> float:
        self._client.close()
        if response.status != 200:
            raise exceptions.HarnessError("the head did not change")
        return float(self._deployment.reactor.seconds())

    @property
    def _path(self) -> str:
        cluster = self._deployment.topology.name
        return f"/v1/keys/filbertlift/{cluster}/head"

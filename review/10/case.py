"""Once the last tenant is removed, requests need no key any more."""

import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins2 as standins  # noqa: E402

CONFIG_S = 3.0  # configMs
KEY = "5rcpihhacruddedev3na"
OTHER_KEY = "nevrheldbyanyone0000"
SERVICES = ("preview", "desk")


class Upstream(standins.Upstream):
    """An upstream that also records the headers of tenants."""

    def handle(self, exchange, body):
        """Runs one request."""
        self.record.note(
            "headers at",
            self.id,
            exchange.headers.get("Request-Id"),
            "Tenant:",
            exchange.headers.get("Tenant"),
            "Api-Key:",
            exchange.headers.get("Api-Key"),
        )
        super().handle(exchange, body)


class Client:
    """A client whose requests go to a route that is not public."""

    def __init__(self, address, record):
        self.address = address
        self.record = record

    def ask(self, request_id, named):
        """Sends a request with further headers; returns the status."""
        headers = {
            "Host": "shop.example",
            "Request-Id": request_id,
            "Request-Deadline": "2000",
            **named,
        }
        path = f"/preview/safe/{request_id}"
        status = standins.ask(self.address, "GET", path, headers)[0]
        self.record.note("answer", request_id, status, named)
        return status


def make_config(version, tenants):
    """Returns a configuration with these tenants."""
    routes = {"clips": standins.make_route("preview", public=False)}
    return standins.make_config(version, routes, SERVICES, tenants=tenants)


def play(scratch, record, nodes, has_trouble):
    """Plays the case; returns whether a rule was broken."""
    store = standins.Store(record)
    tenant = {"apiKeys": [KEY], "priority": 1, "ratePerS": 297, "burst": 297}
    store.put("op/config", make_config(1, {"bozi300": tenant}))
    machines = (("desk", "dar-kariakoo"), ("preview", "dar-msasani"))
    contracts = "base,drain,config,cost,retry,recover,tenants,quota,platform"
    standins.start_nodes(
        scratch, store, nodes, machines, "dar", contracts=contracts
    )
    upstreams = [Upstream(node, record) for node in nodes]
    standins.wait_until_ready(nodes)
    client = Client(nodes[0].outbound, record)
    if client.ask("before", {"Api-Key": KEY}) != 200:
        raise standins.CannotRunError("the key is not accepted")
    if client.ask("before-unknown", {"Api-Key": OTHER_KEY}) != 401:
        raise standins.CannotRunError("an unknown key is accepted")
    if has_trouble:
        store.put("op/config", make_config(2, {}))
        record.note("the operator removed the last tenant")
    time.sleep(CONFIG_S + 2.0)
    sent = {
        "never-held": {"Api-Key": OTHER_KEY},
        "no-key": {},
        "own-tenant": {"Tenant": "bozi300"},
    }
    if has_trouble:
        sent["withdrawn"] = {"Api-Key": KEY}
    for name, headers in sent.items():
        for number in range(5):
            client.ask(f"{name}-{number}", headers)
    time.sleep(0.5)
    ran = [
        request_id
        for upstream in upstreams
        for request_id, _at in upstream.runs
        if request_id.rpartition("-")[0] in sent
    ]
    record.note("ran without a valid key:", len(ran), ran)
    print(f"{len(ran)} of {5 * len(sent)} requests ran without a valid key")
    return bool(ran)


standins.run_case(FOLDER, play)

"""Stand-in for the platform's list of VMs.

``POST /rows`` adds rows or updates their fields, ``POST /remove`` removes
ids.  Readers see a change after ``lag_s`` seconds.  Fault switches:
``outage`` (answers 503) and ``lag_s``.
"""

import hashlib
import json

import anyio
import fire

from citrondeal import web
from tests.standins import _common


class VmList:
    """The current rows, and the older ones that readers still see."""

    def __init__(self, lag_s):
        self._rows = {}
        self._history = [(0.0, {})]
        self.faults = _common.Faults(outage=0, lag_s=lag_s)

    def _record_change(self):
        self._history.append((anyio.current_time(), dict(self._rows)))

    def _visible_rows(self):
        visible_until = anyio.current_time() - self.faults["lag_s"]
        while len(self._history) > 1 and self._history[1][0] <= visible_until:
            self._history.pop(0)
        return self._history[0][1]

    async def put(self, request):
        """Answer ``POST /rows`` with a list of rows."""
        for row in json.loads(request.body):
            self._rows[row["id"]] = {**self._rows.get(row["id"], {}), **row}
        self._record_change()
        return web.json_response({"rows": len(self._rows)})

    async def remove(self, request):
        """Answer ``POST /remove`` with a list of ids."""
        for vm_id in json.loads(request.body):
            self._rows.pop(vm_id, None)
        self._record_change()
        return web.json_response({"rows": len(self._rows)})

    async def read(self, request):
        """Answer ``GET /v1/vms``."""
        if self.faults["outage"]:
            return web.Response(503)
        rows = list(self._visible_rows().values())
        response = web.json_response({"vms": rows})
        etag = hashlib.sha1(response.body).hexdigest()
        if request.headers.get("if-none-match") == etag:
            return web.Response(304, headers={"etag": etag})
        response.headers["etag"] = etag
        return response


def build_app(vm_list):
    """Return the application of a `VmList`."""
    app = web.App()
    app.add_route("GET", "/v1/vms", vm_list.read)
    app.add_route("POST", "/rows", vm_list.put)
    app.add_route("POST", "/remove", vm_list.remove)
    app.add_route("POST", "/faults", vm_list.faults.handle)
    return app


def main(address="127.0.0.1:7002", lag_s=0.5):
    """Serve the list on `address`."""
    app = build_app(VmList(lag_s))
    anyio.run(_common.serve_apps, [(address, app)])


if __name__ == "__main__":
    fire.Fire(main)

"""The operator's configuration, read from the store or from a member.

A configuration can be large, and all traffic between two regions shares one
link. One member of each zone therefore reads the store, and the others of the
zone ask that member.
"""

import logging

import anyio

from citrondeal.cell import _clock
from citrondeal.cell import _follower
from citrondeal import peers
from citrondeal.peers.gen.peers import ttypes
from citrondeal import platform
from citrondeal import telemetry

POLL_S = 0.7  # long poll of the store
ASK_PERIOD_S = 0.3
ASK_TIMEOUT_S = 1.0
# A member whose own last answer of the store is older does not answer others,
# so that a reader which has lost the store costs them little of the time in
# which a configuration has to be in force.
FRESH_S = 1.4
# A member that did not answer is not asked again for this long.
FAILED_S = 3.0
# After a start of the whole cell the reader of a zone has no configuration
# either, and others wait this long for it before they read the store.
PATIENCE_S = 1.5
RETRY_S = 0.1

_LOG = logging.getLogger(__name__)


class Configuration:
    """Keeps the newest configuration of the operator.

    Parameters
    ----------
    store : citrondeal.platform.StoreClient
    links : citrondeal.peers.ConnectionPool
    member : Member
        This process.
    others : callable
        Returns the other `Member` values by name.
    """

    def __init__(self, store, links, member, others):
        self._links = links
        self._member = member
        self._others = others
        self._failed = {}  # time of the last failure by member
        self._record = None
        self._catalog = None
        self._follower = _follower.Follower(
            store, platform.OPERATOR_TOPIC, self._on_records, POLL_S
        )

    @property
    def catalog(self):
        """The `platform.Catalog` in force, or None."""
        return self._catalog

    async def run(self):
        """Follow the configuration until cancelled."""
        limit = _clock.now() + PATIENCE_S
        while True:
            now = _clock.now()
            reader = self._reader(now)
            if reader is not None and await self._ask(reader):
                await anyio.sleep(ASK_PERIOD_S)
            elif reader is not None and self._waits(reader, now, limit):
                await anyio.sleep(RETRY_S)
            elif self._follower.loaded:
                await self._follower.step()
            elif not await self._follower.try_load():
                await anyio.sleep(RETRY_S)

    def _reader(self, now):
        """Return the member to ask, or None to read the store."""
        zone = [m for m in self._others().values() if m.zone == self._zone]
        for member in sorted([self._member, *zone], key=_rank):
            if member.name == self._member.name:
                return None
            if now - self._failed.get(member.name, -FAILED_S) >= FAILED_S:
                return member
        return None

    @property
    def _zone(self):
        return self._member.zone

    def _waits(self, reader, now, limit):
        """Whether the reader of the zone will probably answer soon."""
        alive = reader.name not in self._failed
        return alive and self._catalog is None and now < limit

    async def _ask(self, reader):
        start = 0 if self._record is None else self._record.offset + 1
        query = ttypes.Records(
            stream=platform.OPERATOR_TOPIC, start=start, limit=1
        )
        try:
            reply = await self._links.call(
                reader.address, query, ASK_TIMEOUT_S
            )
        except peers.PeerError as exc:
            self._failed[reader.name] = _clock.now()
            self._log("reader does not answer", reader, str(exc))
            return False
        if not isinstance(reply, ttypes.RecordsReply):
            if self._catalog is not None:
                self._failed[reader.name] = _clock.now()
                self._log("reader has no answer", reader, reply.message)
            return False
        self._failed.pop(reader.name, None)
        for offset, value in zip(reply.offsets, reply.data):
            self._take(platform.Record(platform.CONFIG_KEY, value, offset))
        return True

    def answer(self, query):
        """Return the reply to a member that asks for the configuration."""
        age_s = self._follower.age_s(_clock.now())
        if self._record is None or age_s > FRESH_S:
            return ttypes.Fault(
                kind="unavailable", message="no fresh configuration here"
            )
        newer = [self._record] if self._record.offset >= query.start else []
        return ttypes.RecordsReply(
            first=0,
            next=self._record.offset + 1,
            offsets=[record.offset for record in newer],
            data=[record.value for record in newer],
        )

    def _on_records(self, records):
        for record in records:
            if record.key == platform.CONFIG_KEY and record.value:
                self._take(record)

    def _take(self, record):
        try:
            catalog = platform.decode_catalog(record.value)
        except platform.RecordError as exc:
            telemetry.event(
                _LOG,
                logging.ERROR,
                "configuration is skipped",
                offset=record.offset,
                reason=str(exc),
            )
            return
        if self._catalog and catalog.version < self._catalog.version:
            return
        known = self._catalog and catalog.version == self._catalog.version
        self._catalog, self._record = catalog, record
        if known:
            return
        telemetry.event(
            _LOG,
            logging.INFO,
            "configuration is in force",
            version=catalog.version,
            queues=len(catalog.queues),
            offset=record.offset,
        )

    def _log(self, message, reader, reason):
        telemetry.event(
            _LOG, logging.INFO, message, reader=reader.name, reason=reason
        )


def _rank(member):
    """Return the sort key of readers: strong machines first."""
    return (-member.cores, member.name)

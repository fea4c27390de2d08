"""The operator's configuration, read from the store or from another member.

A configuration can be large, and all traffic between two regions shares one
link. Therefore only one member of each zone, the reader, reads it from the
store, and the others of the zone query the reader. A member reads the store
itself once nobody has confirmed its configuration for some time.
"""

import dataclasses
import logging
import math
import zlib

import anyio

from citrondeal.cell import _clock
from citrondeal.cell import _follower
from citrondeal.cell import _readers
from citrondeal import peers
from citrondeal.peers.gen.peers import ttypes
from citrondeal import platform
from citrondeal import telemetry

LONG_POLL_S = 0.5
QUERY_PERIOD_S = 0.3
QUERY_TIMEOUT_S = 1.0
# Members that may be slow to answer are queried one more at a time, each this
# much after the one before.
QUERY_STAGGER_S = 0.2
# A member that has lost the store answers others only if its configuration was
# confirmed within this time; twice that of a long poll is usual.
MAX_ANSWER_AGE_S = 1.4
# A reply of an earlier version does not tell its age, which is at most this.
UNKNOWN_ANSWER_AGE_S = 1.4
# A member whose configuration has been unconfirmed for this share of the time
# in which a new one has to be in force reads the store itself. The rest is for
# that read.
DIRECT_READ_SHARE = 0.6
# When the whole cell starts, the reader of a zone has no configuration yet
# either. The others wait this long for it before they read the store.
FIRST_ANSWER_WAIT_S = 1.5
RETRY_DELAY_S = 0.1
MIN_PAUSE_S = 0.01
# Largest configuration that another member may send, before compression.
MAX_RECORD_BYTES = 16 * 1024 * 1024
# Name in the log of the source of a configuration that no member has sent.
STORE_SOURCE = "store"

_LOG = logging.getLogger(__name__)


class Configuration:
    """Keeps the newest configuration of the operator for this process.

    Two activities do so, neither of which waits for the other: one reads the
    store, the other one queries members.

    Parameters
    ----------
    store : citrondeal.platform.StoreClient
    links : citrondeal.peers.ConnectionPool
    member : Member
        This process.
    others : callable
        Returns a dict of the other `Member` values by name.
    apply_s : float
        Seconds after which a stored configuration has to be in force.
    """

    def __init__(self, store, links, member, others, apply_s):
        self._links = links
        self._name = member.name
        self._readers = _readers.Readers(member, others)
        self._max_unconfirmed_s = apply_s * DIRECT_READ_SHARE
        self._wait_until = math.inf
        self._record = None
        self._compressed_record = None, b""  # offset and compressed value
        self._catalog = None
        self._member_confirmed_at = -math.inf
        self._direct_read = None  # scope of a read that others make needless
        self._follower = _follower.Follower(
            store, platform.OPERATOR_TOPIC, self._on_records, LONG_POLL_S
        )

    @property
    def catalog(self):
        """The `platform.Catalog` in force; None before the first one."""
        return self._catalog

    def age_s(self, now):
        """Return the seconds since `catalog` was known to be the newest.

        That is when a read of the store was sent that has been answered, by
        this member or by the one whose answer reached this member. So each
        configuration that was stored before is in force.
        """
        return now - max(
            self._member_confirmed_at, self._follower.confirmed_at
        )

    async def run(self):
        """Follow the configuration until cancelled."""
        self._wait_until = _clock.now() + FIRST_ANSWER_WAIT_S
        async with anyio.create_task_group() as task_group:
            for activity, function in (
                ("configuration from the store", self._follow_store),
                ("configuration from members", self._follow_members),
            ):
                task_group.start_soon(
                    telemetry.keep_running, _LOG, activity, function
                )

    # From the store

    async def _follow_store(self):
        """Read the store as the reader, or while nobody else confirms."""
        while True:
            now = _clock.now()
            if self._readers.reader(now) is None:
                await self._read_store(LONG_POLL_S)
            elif self._must_read_store(now):
                with anyio.CancelScope() as self._direct_read:
                    await self._read_store(0.0)
                if self._follower.failing:
                    await anyio.sleep(QUERY_PERIOD_S)
            else:
                await anyio.sleep(self._pause_s(now))

    def _must_read_store(self, now):
        """Return whether a member that is not the reader reads the store."""
        if self._catalog is None:
            return now >= self._wait_until
        return self.age_s(now) >= self._max_unconfirmed_s

    def _pause_s(self, now):
        """Return the seconds until `_must_read_store` is to be asked again."""
        left_s = self._max_unconfirmed_s - self.age_s(now)
        return min(max(left_s, MIN_PAUSE_S), QUERY_PERIOD_S)

    async def _read_store(self, wait_s):
        if self._follower.has_position:
            await self._follower.read_once(wait_s)
        elif not await self._follower.try_load():
            await anyio.sleep(RETRY_DELAY_S)

    # From members

    async def _follow_members(self):
        """Query the reader, and others if neither it nor the store answers."""
        while True:
            reader = self._readers.reader(_clock.now())
            answered = reader is not None and await self._query(reader)
            if not answered and self._follower.failing:
                await self._query_any()
            elif not answered and self._catalog is None:
                await anyio.sleep(RETRY_DELAY_S)
                continue
            await anyio.sleep(QUERY_PERIOD_S)

    async def _query_any(self):
        """Query other members until one confirms the configuration anew."""
        confirmed_at = self._member_confirmed_at
        async with anyio.create_task_group() as task_group:

            async def query(member, ended):
                await self._query(member)
                if self._member_confirmed_at > confirmed_at:
                    task_group.cancel_scope.cancel()
                ended.set()

            for member in self._readers.substitutes(_clock.now()):
                ended = anyio.Event()
                task_group.start_soon(query, member, ended)
                with anyio.move_on_after(QUERY_STAGGER_S):
                    await ended.wait()

    async def _query(self, member):
        """Query a member; return whether it has a fresh configuration."""
        start = 0 if self._record is None else self._record.offset + 1
        sent_at = _clock.now()
        query = ttypes.Records(
            stream=platform.OPERATOR_TOPIC,
            start=start,
            limit=1,
            accepts_zlib=True,
        )
        try:
            reply = await self._links.call(
                member.address, query, QUERY_TIMEOUT_S
            )
        except peers.PeerError as exc:
            self._readers.on_failed(member.name, _clock.now())
            self._log_member_event("reader does not answer", member, str(exc))
            return False
        if not isinstance(reply, ttypes.RecordsReply):
            if self._catalog is not None:
                self._readers.on_failed(member.name, _clock.now())
                self._log_member_event(
                    "reader has no answer", member, reply.message
                )
            return False
        self._readers.on_answered(member.name)
        self._on_reply(member, reply, sent_at)
        return True

    def _on_reply(self, member, reply, sent_at):
        for offset, value in zip(reply.offsets, reply.data):
            if reply.zlib:
                value = _decompress(value)
            record = platform.Record(platform.CONFIG_KEY, value, offset)
            if not self._apply(record, member.name):
                return
            self._follower.skip_to(offset + 1)
        age_s = UNKNOWN_ANSWER_AGE_S if reply.age_s is None else reply.age_s
        self._member_confirmed_at = max(
            self._member_confirmed_at, sent_at - max(age_s, 0.0)
        )
        if self._direct_read and not self._must_read_store(_clock.now()):
            self._direct_read.cancel()

    def answer(self, query):
        """Return the reply to another member that queries the configuration.

        Parameters
        ----------
        query : ttypes.Records

        Returns
        -------
        ttypes.RecordsReply or ttypes.Fault
            The reply has no records if the other member has the newest one
            already; a fault means that this member has none that is fresh.
        """
        age_s = self.age_s(_clock.now())
        # Members of earlier versions, which do not say that they accept zlib,
        # do not look at the age.
        may_be_older = query.accepts_zlib and not self._follower.failing
        max_age_s = (
            self._max_unconfirmed_s if may_be_older else MAX_ANSWER_AGE_S
        )
        if self._record is None or age_s > max_age_s:
            return ttypes.Fault(
                kind="unavailable",
                message=f"{self._name} has no configuration that the"
                f" store confirmed within {max_age_s} s",
            )
        reply = ttypes.RecordsReply(
            first=0,
            next=self._record.offset + 1,
            offsets=[],
            data=[],
            age_s=age_s,
        )
        if self._record.offset >= query.start:
            reply.offsets = [self._record.offset]
            reply.zlib = bool(query.accepts_zlib)
            reply.data = [
                self._compressed() if reply.zlib else self._record.value
            ]
        return reply

    def _compressed(self):
        """Return the compressed record, which is kept for further members."""
        offset, data = self._compressed_record
        if offset != self._record.offset:
            data = zlib.compress(self._record.value, zlib.Z_BEST_SPEED)
            self._compressed_record = self._record.offset, data
        return data

    def _on_records(self, records):
        for record in records:
            if record.key == platform.CONFIG_KEY and record.value:
                self._apply(record, STORE_SOURCE)

    def _apply(self, record, source):
        """Put a valid record into force; return whether it is valid."""
        started_at = _clock.now()
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
            return False
        if self._catalog and catalog.version < self._catalog.version:
            return True
        known = self._catalog and catalog.version == self._catalog.version
        self._catalog = catalog
        # Only digests of the keys are kept and passed on to other members.
        self._record = dataclasses.replace(
            record, value=platform.redact_keys(record.value)
        )
        if not known:
            self._log_in_force(record, source, started_at)
        return True

    def _log_in_force(self, record, source, started_at):
        catalog = self._catalog
        telemetry.event(
            _LOG,
            logging.INFO,
            "configuration is in force",
            version=catalog.version,
            queues=len(catalog.queues),
            offset=record.offset,
            source=source,
            size_bytes=len(record.value),
            took_s=round(_clock.now() - started_at, 3),
            # The record is not older than this.
            age_s=round(self.age_s(started_at), 3),
        )

    def _log_member_event(self, message, member, reason):
        telemetry.event(
            _LOG, logging.INFO, message, reader=member.name, reason=reason
        )


def _decompress(data):
    """Return the value of a record; empty, and so malformed, if it fails."""
    decompressor = zlib.decompressobj()
    try:
        value = decompressor.decompress(data, MAX_RECORD_BYTES)
    except zlib.error:
        return b""
    return value if decompressor.eof else b""

"""Messages between the daemons: Thrift frames over TCP streams."""

from citrondeal.peers import _codec
from citrondeal.peers import _connection
from citrondeal.peers import _pool
from citrondeal.peers import _server

__all__ = [
    "ConnectionPool",
    "FRAME_LIMIT_BYTES",
    "Identity",
    "PROTOCOL_VERSION",
    "PeerError",
    "decode",
    "encode",
    "serve",
]

ConnectionPool = _pool.ConnectionPool
FRAME_LIMIT_BYTES = _codec.FRAME_LIMIT_BYTES
PROTOCOL_VERSION = _codec.PROTOCOL_VERSION
Identity = _connection.Identity
PeerError = _connection.PeerError
decode = _codec.decode
encode = _codec.encode
serve = _server.serve

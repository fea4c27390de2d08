"""Sizes of HTTP exchanges, for the traffic counters."""

_VERSION_BYTES = len("HTTP/1.1")


def http_bytes(method, host, target, headers, body, response):
    """Return the bytes of one HTTP/1.1 exchange, excluding TCP and IP.

    Parameters
    ----------
    method, host, target : str
        Method and target of the request line, and the ``Host`` header.
    headers : list of (str, str)
        Further request headers without ``Content-Length``.
    body : bytes
        Body of the request.
    response : httpcore.Response
        Complete response.

    Returns
    -------
    sent, received : int
        Bytes of the request and of the response: start line, headers and
        body.
    """
    # 4: two spaces and a CRLF in the request line; 2: the CRLF after the
    # headers.
    sent = len(method) + len(target) + _VERSION_BYTES + 4 + len(body) + 2
    sent += _header_bytes([("host", host), *headers])
    # httpcore sends Content-Length even for an empty body.
    sent += _header_bytes([("content-length", str(len(body)))])
    reason = response.extensions.get("reason_phrase", b"")
    # 4: the CRLF of the status line and the CRLF after the headers.
    received = _VERSION_BYTES + len(" 200 ") + len(reason) + 4
    received += _header_bytes(response.headers) + len(response.content)
    return sent, received


def _header_bytes(pairs):
    # 4: colon, space and CRLF of each header line.
    return sum(len(name) + len(value) + 4 for name, value in pairs)

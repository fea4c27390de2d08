"""Size of HTTP exchanges."""

_VERSION = len("HTTP/1.1")


def http_bytes(method, host, target, headers, body, response):
    """Return the bytes of one HTTP/1.1 exchange, without TCP and IP.

    Parameters
    ----------
    method, host, target : str
        Request line and the value of the ``Host`` header.
    headers : list of (str, str)
        Further request headers without ``Content-Length``.
    body : bytes
        Body of the request.
    response : httpcore.Response
        Complete response.

    Returns
    -------
    sent, received : int
        Bytes with start lines, headers and bodies.
    """
    sent = len(method) + len(target) + _VERSION + 4 + len(body) + 2
    sent += _fields([("host", host), *headers])
    # httpcore states the length even of an empty body.
    sent += _fields([("content-length", str(len(body)))])
    reason = response.extensions.get("reason_phrase", b"")
    received = _VERSION + len(" 200 ") + len(reason) + 4
    received += _fields(response.headers) + len(response.content)
    return sent, received


def _fields(pairs):
    return sum(len(name) + len(value) + 4 for name, value in pairs)

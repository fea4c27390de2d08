"""Keys of client accounts, which are kept as digests only."""

import hashlib
import hmac
import json


def digest(key):
    """Return the digest of a key as hexadecimal text.

    SHA-256 without a salt is enough, because keys are long random strings.
    """
    return hashlib.sha256(key.encode("utf-8", "surrogatepass")).hexdigest()


class KeyTable:
    """Finds the client account of a key.

    Parameters
    ----------
    digests : iterable of (str, str)
        Name of an account and the digest of one of its keys. Of two accounts
        with the same key the first one counts.
    """

    def __init__(self, digests=()):
        self._accounts = {}
        for account, key_digest in digests:
            self._accounts.setdefault(key_digest, (key_digest, account))

    def find(self, key):
        """Return the account of a key, or None if it is unknown.

        The time that it takes depends neither on the number of keys nor on
        how much of a valid key the caller has guessed: the lookup sees the
        digest only.
        """
        presented = digest(key)
        known, account = self._accounts.get(presented, ("", None))
        return account if hmac.compare_digest(presented, known) else None


def redact(data):
    """Return a configuration with digests in place of the keys.

    Members pass configurations on in this form. Fields that this version does
    not know are kept.

    Parameters
    ----------
    data : bytes
        A valid configuration.
    """
    config = json.loads(data)
    accounts = config.get("tenants")
    if not accounts:
        return data
    for account in accounts:
        digests = [digest(key) for key in account.pop("api-keys", [])]
        account["key-digests"] = account.get("key-digests", []) + digests
    return json.dumps(config, separators=(",", ":")).encode()

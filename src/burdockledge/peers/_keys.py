"""Keys shared by the entry hosts, for message authentication codes (MAC)."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from pathlib import Path

MAC_BYTES: Final = 16
_MIN_KEY_CHARACTERS: Final = 16


class PeerKeysError(Exception):
    """The peer keys are missing, unreadable or too short."""


class PeerKeys:
    """
    Computes MACs with the first key and accepts those of any key.

    During a key rotation both the old and the new key are configured. A MAC
    is an HMAC-SHA256 (RFC 2104), truncated to 16 bytes.
    """

    def __init__(
        self, configured_keys: tuple[str, ...], keys_path: Path | None
    ) -> None:
        """
        Read the keys from a file if there is one, else use the given keys.

        :raises PeerKeysError: if there is no key or a key is too short, or
            if the file can not be read.
        """
        self._configured_keys = configured_keys
        self._keys_path = keys_path
        self._mtime_ns = 0
        self._keys: tuple[bytes, ...] = ()
        self.reload()

    def reload(self) -> bool:
        """
        Read the file again if its modification time changed.

        After an error the former keys stay in use.

        :return: whether the file was read.
        :raises PeerKeysError: if the file can not be read, or holds no key or
            one that is too short.
        """
        if self._keys_path is None:
            self._keys = self._validate(self._configured_keys)
            return False
        try:
            mtime_ns = self._keys_path.stat().st_mtime_ns
            if mtime_ns == self._mtime_ns:
                return False
            file_keys = self._keys_path.read_text('utf-8').split()
        except OSError as error:
            raise PeerKeysError(f'peer_keys_file: {error}') from error
        self._keys = self._validate(tuple(file_keys))
        self._mtime_ns = mtime_ns
        return True

    def sign(self, *parts: bytes) -> bytes:
        """Return the MAC of the parts under the first key."""
        return _mac(self._keys[0], parts)

    def verify(self, mac: bytes, *parts: bytes) -> bool:
        """Return whether this is the MAC of the parts under any key."""
        return any(
            hmac.compare_digest(_mac(key, parts), mac) for key in self._keys
        )

    def sign_datagram(self, context: bytes, content: bytes) -> bytes:
        """
        Prepend a MAC to the content of a datagram.

        :param context: the kind of datagram, covered by the MAC but not sent,
            so that a datagram of one kind is not accepted as another.
        """
        return self.sign(context, content) + content

    def verify_datagram(self, context: bytes, datagram: bytes) -> bytes | None:
        """Return the content of a datagram, None if its MAC is not valid."""
        content = datagram[MAC_BYTES:]
        is_valid = self.verify(datagram[:MAC_BYTES], context, content)
        return content if is_valid else None

    def _validate(self, keys: tuple[str, ...]) -> tuple[bytes, ...]:
        if not keys:
            raise PeerKeysError('peer_keys: give at least one key')
        if any(len(key) < _MIN_KEY_CHARACTERS for key in keys):
            raise PeerKeysError(
                f'peer_keys: a key has at least {_MIN_KEY_CHARACTERS} '
                'characters',
            )
        return tuple(key.encode() for key in keys)


def _mac(key: bytes, parts: tuple[bytes, ...]) -> bytes:
    mac = hmac.new(key, digestmod=hashlib.sha256)
    for part in parts:
        mac.update(len(part).to_bytes(4, 'big'))
        mac.update(part)
    return mac.digest()[:MAC_BYTES]


__all__ = ('MAC_BYTES', 'PeerKeys', 'PeerKeysError')

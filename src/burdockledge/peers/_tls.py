"""TLS contexts, updated in place when certificate or key files change."""

from __future__ import annotations

import ssl
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

    from burdockledge.settings import TlsSettings


class TlsContexts:
    """The TLS contexts of an entry host; None where TLS is not configured."""

    def __init__(self, settings: TlsSettings) -> None:
        """
        Load the configured certificates and keys.

        :raises OSError: if a file can not be read; ``ssl.SSLError``, a kind
            of it, if a file holds no valid certificate or key.
        """
        self._settings = settings
        self._mtimes_ns: tuple[int, ...] = ()
        self.caller_server: ssl.SSLContext | None = None
        self.peer_server: ssl.SSLContext | None = None
        self.peer_client: ssl.SSLContext | None = None
        if settings.tls_certificate is not None:
            self.caller_server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        if settings.peer_tls_ca is not None:
            self.peer_server = _peer_context(ssl.PROTOCOL_TLS_SERVER)
            self.peer_client = _peer_context(ssl.PROTOCOL_TLS_CLIENT)
        self.reload()

    def reload(self) -> bool:
        """
        Load all files again if the modification time of any changed.

        New connections use the loaded files, open ones stay as they are.

        :return: whether the files were loaded.
        :raises OSError: as on creation.
        """
        mtimes_ns = tuple(path.stat().st_mtime_ns for path in self._paths())
        if mtimes_ns == self._mtimes_ns:
            return False
        for context in (self.caller_server, self.peer_server, self.peer_client):
            if context is not None:
                self._load_files_into(context)
        self._mtimes_ns = mtimes_ns
        return True

    def _load_files_into(self, context: ssl.SSLContext) -> None:
        settings = self._settings
        if settings.tls_certificate is not None:
            context.load_cert_chain(settings.tls_certificate, settings.tls_key)
        if (
            settings.peer_tls_ca is not None
            and context is not self.caller_server
        ):
            context.load_verify_locations(settings.peer_tls_ca)

    def _paths(self) -> tuple[Path, ...]:
        settings = self._settings
        paths = (
            settings.tls_certificate,
            settings.tls_key,
            settings.peer_tls_ca,
        )
        return tuple(path for path in paths if path is not None)


def _peer_context(protocol: int) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    # Host names come from settings, not from DNS; any certificate signed by
    # the peers' certificate authority is accepted.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    return context


__all__ = ('TlsContexts',)

"""The peer bus over TCP, optionally with TLS."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Final

from burdockledge.peers._bus import PeerAddressLookup, PeerBus
from burdockledge.peers._handshake import (
    MAX_FRAME_BYTES,
    authenticate_as_server,
    read_block,
    write_block,
)
from burdockledge.peers._link import LINK_ERRORS, Link, LinkConfig
from burdockledge.telemetry import make_logger
from burdockledge.wire import Frame, decode_frame, encode_frame

if TYPE_CHECKING:
    import ssl

    from burdockledge.telemetry import TimeLine
    from burdockledge.wire import Message

_log = make_logger('peers')

# No host can be reached before ``set_address_lookup`` is called.
_NO_ADDRESSES: Final[dict[str, str]] = {}


class TcpPeerBus(PeerBus):
    """
    Sends to each peer over a connection of its own, opened on demand.

    Messages from a peer arrive over the connection that the peer opened.
    """

    def __init__(
        self,
        config: LinkConfig,
        listen_address: str,
        server_tls: ssl.SSLContext | None,
        time_line: TimeLine,
    ) -> None:
        """Create a bus that will listen at ``IP:port``."""
        super().__init__(config.hello.host)
        self._config = config
        self._listen_address = listen_address
        self._server_tls = server_tls
        self._time_line = time_line
        self._lookup_address: PeerAddressLookup = _NO_ADDRESSES.get
        self._links: dict[str, Link] = {}
        self._server: asyncio.Server | None = None

    def set_address_lookup(self, lookup: PeerAddressLookup) -> None:
        """Set the function that returns the ``IP:port`` of a host name."""
        self._lookup_address = lookup

    async def start(self) -> None:
        """Start to accept connections of peers."""
        ip, _, port = self._listen_address.rpartition(':')
        self._server = await asyncio.start_server(
            self._on_connection,
            ip.strip('[]'),
            int(port),
            ssl=self._server_tls,
        )

    async def stop(self) -> None:
        """Stop listening and close all links."""
        if self._server is not None:
            self._server.close()
        await super().stop()

    def send(self, host: str, message: Message) -> None:
        """
        Queue a message; drop it if the queue of the link is full.

        A message to this host itself is delivered by the event loop's next
        iteration.
        """
        if host == self.own_host:
            loop = asyncio.get_running_loop()
            loop.call_soon(self.deliver, host, message)
            return
        link = self._links.get(host)
        if link is None:
            link = Link(
                self._config,
                lambda: self._lookup_address(host),
                self._time_line.stamp,
                self._count_frame,
            )
            self._links[host] = link
            self.spawn(self._run_link(host, link))
        if not link.queue(message):
            self._log_loss(host, 'its queue is full')

    async def _run_link(self, host: str, link: Link) -> None:
        try:
            await link.run()
        except LINK_ERRORS as error:
            self._log_loss(host, str(error) or type(error).__name__)
        finally:
            self._links.pop(host, None)
        self.notify_link_down(host)

    def _count_frame(self, length: int) -> None:
        self.frames_sent += 1
        self.bytes_sent += length

    def _log_loss(self, host: str, why: str) -> None:
        _log.warning('Link lost.', peer=host, why=why)

    async def _on_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        # The connection is served by a task of this service, which is
        # cancelled on stop; the task of asyncio's server is not.
        await asyncio.wait(
            (self.spawn(self._serve_connection(reader, writer)),)
        )

    async def _serve_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        config = self._config
        try:
            async with asyncio.timeout(config.silence_seconds):
                peer = await authenticate_as_server(
                    reader, writer, config.keys, self.own_host
                )
            await self._receive_frames(reader, writer, peer.host)
        except LINK_ERRORS as error:
            _log.info('Peer connection ended.', why=str(error))
        finally:
            with contextlib.suppress(OSError):
                writer.close()

    async def _receive_frames(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        peer: str,
    ) -> None:
        while True:
            async with asyncio.timeout(self._config.silence_seconds * 2):
                block = await read_block(reader, MAX_FRAME_BYTES)
            frame = decode_frame(block)
            self._time_line.merge_stamp(frame.stamp or 0)
            for message in frame.messages():
                self.deliver(peer, message)
            echo = encode_frame(Frame(heartbeat=frame.heartbeat))
            self._count_frame(len(echo))
            write_block(writer, echo)
            await writer.drain()


__all__ = ('TcpPeerBus',)

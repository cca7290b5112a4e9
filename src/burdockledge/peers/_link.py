"""The sending side of a link to one entry host."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from burdockledge.peers._handshake import (
    MAX_FRAME_BYTES,
    HandshakeError,
    authenticate_as_client,
    read_block,
    write_block,
)
from burdockledge.wire import (
    Frame,
    Hello,
    Message,
    WireError,
    decode_frame,
    encode_frame,
)

if TYPE_CHECKING:
    import ssl

    from burdockledge.peers._keys import PeerKeys

_BATCH_DELAY_SECONDS: Final = 0.002
_IDLE_TIMEOUT_SECONDS: Final = 60
_MAX_QUEUED_MESSAGES: Final = 50_000

LINK_ERRORS: Final = (
    OSError,
    EOFError,
    TimeoutError,
    WireError,
    HandshakeError,
)


@dataclass(frozen=True, slots=True)
class LinkConfig:
    """
    Settings of the links to other hosts.

    ``hello`` names this host and its boot number; ``tls`` is None for plain
    TCP. A link without a heartbeat echo for ``silence_seconds`` is closed.
    """

    hello: Hello
    keys: PeerKeys
    tls: ssl.SSLContext | None
    silence_seconds: float


class Link:
    """
    Sends frames to one peer over a connection that it opens on demand.

    Every frame carries a heartbeat that the peer echoes. The connection is
    closed when no echo arrived for ``silence_seconds``; messages that were
    sent or queued on it may be lost.
    """

    def __init__(
        self,
        config: LinkConfig,
        get_address: Callable[[], str | None],
        get_stamp: Callable[[], int],
        on_frame_sent: Callable[[int], None],
    ) -> None:
        """
        Create a link that is not connected.

        :param get_address: returns the current ``IP:port`` of the peer, None
            while it is not known.
        :param get_stamp: returns the hybrid logical clock stamp of a frame.
        :param on_frame_sent: gets the size of each sent frame in bytes.
        """
        self._config = config
        self._get_address = get_address
        self._get_stamp = get_stamp
        self._on_frame_sent = on_frame_sent
        self._pending_frame = Frame()
        self._queued_count = 0
        self._has_messages = asyncio.Event()
        self._last_echo_at = 0.0

    def queue(self, message: Message) -> bool:
        """
        Queue a message for the next frame.

        :return: false if the queue is full and the message was dropped.
        """
        if self._queued_count >= _MAX_QUEUED_MESSAGES:
            return False
        self._pending_frame.add(message)
        self._queued_count += 1
        self._has_messages.set()
        return True

    async def run(self) -> None:
        """
        Connect and send frames until the link fails or is idle for long.

        :raises OSError: or another of ``LINK_ERRORS`` when the link fails.
        """
        address = self._get_address()
        if address is None:
            raise ConnectionError('no address is known')
        reader, writer = await self._open(address)
        try:
            await self._run_connection(reader, writer)
        finally:
            writer.close()

    async def _open(
        self,
        address: str,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        ip, _, port = address.rpartition(':')
        config = self._config
        async with asyncio.timeout(config.silence_seconds):
            reader, writer = await asyncio.open_connection(
                ip.strip('[]'),
                int(port),
                ssl=config.tls,
            )
            try:
                await authenticate_as_client(
                    reader, writer, config.keys, config.hello
                )
            except BaseException:
                writer.close()
                raise
        return reader, writer

    async def _run_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        loop = asyncio.get_running_loop()
        self._last_echo_at = loop.time()
        echo_task = loop.create_task(self._read_echoes(reader))
        try:
            await self._send_frames(writer, echo_task)
        finally:
            echo_task.cancel()
            with contextlib.suppress(asyncio.CancelledError, *LINK_ERRORS):
                await echo_task

    async def _send_frames(
        self,
        writer: asyncio.StreamWriter,
        echo_task: asyncio.Task[None],
    ) -> None:
        loop = asyncio.get_running_loop()
        max_silence_seconds = self._config.silence_seconds
        last_message_at = loop.time()
        while loop.time() - last_message_at < _IDLE_TIMEOUT_SECONDS:
            await self._wait_for_messages(max_silence_seconds / 3)
            if echo_task.done():
                raise ConnectionError('the peer closed the link')
            if loop.time() - self._last_echo_at > max_silence_seconds:
                raise TimeoutError('the peer is silent')
            frame = self._take_pending_frame()
            if frame.messages():
                last_message_at = loop.time()
            frame.heartbeat = int(loop.time() * 1000)
            await self._write_frame(writer, frame)

    async def _wait_for_messages(self, timeout_seconds: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_seconds):
                await self._has_messages.wait()
        if self._has_messages.is_set():
            # Batch messages that are queued at about the same time.
            await asyncio.sleep(_BATCH_DELAY_SECONDS)

    def _take_pending_frame(self) -> Frame:
        frame = self._pending_frame
        frame.stamp = self._get_stamp()
        self._pending_frame = Frame()
        self._queued_count = 0
        self._has_messages.clear()
        return frame

    async def _write_frame(
        self,
        writer: asyncio.StreamWriter,
        frame: Frame,
    ) -> None:
        encoded = encode_frame(frame)
        write_block(writer, encoded)
        self._on_frame_sent(len(encoded))
        await writer.drain()

    async def _read_echoes(self, reader: asyncio.StreamReader) -> None:
        while True:
            decode_frame(await read_block(reader, MAX_FRAME_BYTES))
            self._last_echo_at = asyncio.get_running_loop().time()


__all__ = ('LINK_ERRORS', 'Link', 'LinkConfig')

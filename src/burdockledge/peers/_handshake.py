"""
Mutual challenge-response authentication of a link with HMAC-SHA256.

The server sends a nonce. The client sends its own nonce and a proof, which is
a MAC of both nonces and its host name. The server replies with its proof.
"""

from __future__ import annotations

import asyncio
import secrets
import struct
from typing import TYPE_CHECKING, Final

from burdockledge.wire import Hello, WireError, decode_hello, encode_hello

if TYPE_CHECKING:
    from burdockledge.peers._keys import PeerKeys

LENGTH_PREFIX: Final = struct.Struct('!I')
MAX_FRAME_BYTES: Final = 16 * 1024 * 1024
_MAX_HELLO_BYTES: Final = 4096
_NONCE_BYTES: Final = 16
_CLIENT: Final = b'client'
_SERVER: Final = b'server'


class HandshakeError(Exception):
    """The peer does not prove that it has a shared key."""


async def read_block(reader: asyncio.StreamReader, max_bytes: int) -> bytes:
    """
    Read one length-prefixed block.

    :raises WireError: if it is longer than ``max_bytes``.
    :raises EOFError: if the connection ends before the block does.
    """
    prefix = await reader.readexactly(LENGTH_PREFIX.size)
    length = int.from_bytes(prefix, 'big')
    if length > max_bytes:
        raise WireError(f'block of {length} bytes is over the limit')
    return await reader.readexactly(length)


def write_block(writer: asyncio.StreamWriter, block: bytes) -> None:
    """Queue one length-prefixed block for sending; the caller drains."""
    writer.write(LENGTH_PREFIX.pack(len(block)))
    writer.write(block)


async def authenticate_as_server(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    keys: PeerKeys,
    host: str,
) -> Hello:
    """
    Authenticate both ends of an accepted connection.

    :param host: the name of this host.
    :return: the last message of the peer, with its host name and boot number.
    :raises HandshakeError: if the peer does not prove a shared key.
    """
    nonce = secrets.token_bytes(_NONCE_BYTES)
    write_block(writer, encode_hello(Hello(host, 0, nonce, b'')))
    peer = decode_hello(await read_block(reader, _MAX_HELLO_BYTES))
    host_bytes = peer.host.encode()
    if not keys.verify(peer.proof, _CLIENT, nonce, peer.nonce, host_bytes):
        raise HandshakeError(f'peer {peer.host!r} does not prove a shared key')
    proof = keys.sign(_SERVER, peer.nonce, nonce, host.encode())
    write_block(writer, encode_hello(Hello(host, 0, nonce, proof)))
    return peer


async def authenticate_as_client(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    keys: PeerKeys,
    hello: Hello,
) -> None:
    """
    Authenticate both ends of an opened connection.

    :param hello: name and boot number of this host; its nonce and proof are
        ignored.
    :raises HandshakeError: if the peer does not prove a shared key.
    """
    challenge = decode_hello(await read_block(reader, _MAX_HELLO_BYTES))
    nonce = secrets.token_bytes(_NONCE_BYTES)
    host_bytes = hello.host.encode()
    proof = keys.sign(_CLIENT, challenge.nonce, nonce, host_bytes)
    response = Hello(hello.host, hello.boot, nonce, proof)
    write_block(writer, encode_hello(response))
    peer = decode_hello(await read_block(reader, _MAX_HELLO_BYTES))
    signed_parts = (_SERVER, nonce, challenge.nonce, peer.host.encode())
    if not keys.verify(peer.proof, *signed_parts):
        raise HandshakeError(f'peer {peer.host!r} does not prove a shared key')


__all__ = (
    'LENGTH_PREFIX',
    'MAX_FRAME_BYTES',
    'HandshakeError',
    'authenticate_as_client',
    'authenticate_as_server',
    'read_block',
    'write_block',
)

"""A sound stand-in of a server, and the configuration that names it."""

from __future__ import annotations

import asyncio
import contextlib

from review.standins_3 import wire

SEAL = '3e1b.07.5a2.600.0.c9f2a4d1'
SERVICE = 'svc'
HTTP_HOST = 'desk.example'
KEY = 'n2ctnfzs989anu6wsjnb'


class Server:
    """Answers each call with what ``respond`` writes."""

    def __init__(self, name: str, respond, slots: int = 128) -> None:
        """
        Create a server.

        :param respond: a coroutine function of the request, the writer and
            this server; it returns whether the connection stays open.
        """
        self.name = name
        self.slots = slots
        self._respond = respond
        self._server: asyncio.Server | None = None
        # Ids of the requests that it began to run, in order.
        self.ran: list[str] = []
        self.targets: list[str] = []
        self.open = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)

    @property
    def port(self) -> int:
        assert self._server is not None
        return self._server.sockets[0].getsockname()[1]

    def entry(self, state: str = 'ready') -> dict[str, object]:
        """Return its record in the store."""
        return {
            'backend': SERVICE,
            'address': f'127.0.0.1:{self.port}',
            'zone': 'a',
            'version': 'v1',
            'slots': self.slots,
            'state': state,
            'cold_remaining_ms': 0,
            'seq': 1,
            'born': 1,
        }

    async def _serve(self, reader, writer) -> None:
        self.open += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                request = await wire.read_request(reader)
                if request is None:
                    break
                self.ran.append(request.get('Burdockledge-Request-Id') or '')
                self.targets.append(request.target)
                if not await self._respond(request, writer, self):
                    break
        self.open -= 1
        writer.close()


def head(request: wire.Message, length: int | None, extra: str = '') -> bytes:
    """Return the head of a sealed answer; without a length it is chunked."""
    framing = (
        'Transfer-Encoding: chunked' if length is None
        else f'Content-Length: {length}'
    )
    return (
        'HTTP/1.1 200 OK\r\n'
        f'Burdockledge-Request-Id: {request.get("Burdockledge-Request-Id")}\r\n'
        f'Burdockledge-Response-Seal: {SEAL}\r\n'
        f'{extra}{framing}\r\n\r\n'
    ).encode()


def chunk(content: bytes) -> bytes:
    """Return a chunk of a chunked body, its end without content."""
    return b'%x\r\n%s\r\n' % (len(content), content)


def configuration(timeout_ms: int = 10_000) -> dict[str, object]:
    """Return a configuration with one route of each kind."""
    routes = [
        {
            'name': f'r-{kind}',
            'hostname': HTTP_HOST,
            'path_prefix': f'/{kind}/',
            'route_type': kind,
            'timeout_ms': timeout_ms,
            'target_latency_ms': 1000,
            'priority': 1,
            'backend': SERVICE,
            'max_attempts': 2 if kind == 'safe' else 1,
            'public': False,
            'session_affinity': kind == 'streaming',
            'stream_resume': False,
            **({'gap_aim_ms': 800} if kind == 'streaming' else {}),
        }
        for kind in ('safe', 'unsafe', 'streaming')
    ]
    engine = {
        'slots': 128,
        'kv_capacity': 808319,
        'kv_token_bytes': 18432,
        'link_mbps': 370000.0,
        'moves': True,
        'backups': True,
        'stride': 5,
        'most': 12,
        'pin_ms': 4000.0,
        'hold_ms': 2000.0,
        'handle_s': 5.0,
        'models': [{'name': 'm'}],
    }
    return {
        'version': 1,
        'routes': routes,
        'backends': [
            {
                'name': SERVICE,
                'health_path': '/health',
                'max_connections': 620,
                'protocol': 'h1',
                'tls': False,
                'engine': engine,
            }
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': 'hule930', 'api_keys': [KEY], 'priority': 1}],
    }


def request(
    method: str, target: str, request_id: str, time_limit_ms: int,
    extra: str = '', body: bytes = b'',
) -> bytes:
    """Return a request of a caller."""
    return (
        f'{method} {target} HTTP/1.1\r\n'
        f'Host: {HTTP_HOST}\r\n'
        f'Burdockledge-Request-Id: {request_id}\r\n'
        f'Burdockledge-Deadline-Ms: {time_limit_ms}\r\n'
        f'Authorization: Token {KEY}\r\n'
        f'{extra}Content-Length: {len(body)}\r\n\r\n'
    ).encode() + body

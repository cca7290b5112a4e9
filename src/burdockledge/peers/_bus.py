"""The interface for sending messages to other entry hosts."""

from __future__ import annotations

from abc import abstractmethod
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Final

from burdockledge.kernel import TaskGroupService

if TYPE_CHECKING:
    from burdockledge.wire import Message

MessageHandler = Callable[[str, Any], None]
LinkDownHandler = Callable[[str], None]
PeerAddressLookup = Callable[[str], str | None]

_SERVICE_NAME: Final = 'peers'


class PeerBus(TaskGroupService):
    """
    Sends messages to entry hosts by host name, without waiting.

    Delivery is at most once and in order within a link. When a link fails,
    the subscribers are notified; they resend what is still needed.
    """

    name = _SERVICE_NAME

    def __init__(self, own_host: str) -> None:
        """Create the bus of the host with the given name."""
        super().__init__()
        self._own_host = own_host
        self._handlers: dict[type, MessageHandler] = {}
        self._link_down_handlers: list[LinkDownHandler] = []
        self.frames_sent = 0
        self.bytes_sent = 0

    @property
    def own_host(self) -> str:
        """The name of this host."""
        return self._own_host

    def subscribe(self, message_type: type, handler: MessageHandler) -> None:
        """Set the handler of a message type; it gets (sender, message)."""
        self._handlers[message_type] = handler

    def subscribe_link_down(self, handler: LinkDownHandler) -> None:
        """Call a handler with the name of a host whose link ended."""
        self._link_down_handlers.append(handler)

    @abstractmethod
    def send(self, host: str, message: Message) -> None:
        """Queue a message to a host, which may be this host itself."""

    def deliver(self, sender: str, message: Message) -> None:
        """Call the handler of a message; drop a message without handler."""
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(sender, message)

    def notify_link_down(self, host: str) -> None:
        """Notify the subscribers that the link to a host ended."""
        for handler in self._link_down_handlers:
            handler(host)


__all__ = ('MessageHandler', 'LinkDownHandler', 'PeerAddressLookup', 'PeerBus')

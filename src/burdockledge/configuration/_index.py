"""Lookup tables over one version of the configuration document."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from burdockledge.configuration._document import BackendKind

if TYPE_CHECKING:
    from burdockledge.configuration._document import (
        BackendServer,
        Document,
        Team,
    )


@dataclass(frozen=True, slots=True)
class TeamEntry:
    """A team and its name."""

    name: str
    team: Team


class ConfigurationIndex:
    """Looks up teams by key hash, and servers by model or service name."""

    def __init__(self, document: Document) -> None:
        """Index a document."""
        self._teams_by_key_hash: dict[str, TeamEntry] = {}
        for name, team in document.teams.items():
            for key_hash in team.key_hashes:
                self._teams_by_key_hash[key_hash] = TeamEntry(name, team)
        self._operators_by_key_hash = {
            key_hash: name
            for name, operator in document.operators.items()
            for key_hash in operator.key_hashes
        }
        self._engines_by_model: dict[tuple[str, str], tuple[str, ...]] = {}
        self._servers_by_service: dict[tuple[str, str], tuple[str, ...]] = {}
        for class_name, request_class in document.classes.items():
            for server_name in request_class.servers:
                server = document.servers[server_name]
                self._add_server(class_name, server_name, server)

    def team(self, key_hash: str) -> TeamEntry | None:
        """Return the team that owns a key, None if the key is unknown."""
        return self._teams_by_key_hash.get(key_hash)

    def operator(self, key_hash: str) -> str | None:
        """Return the name of the operator that owns a key, None if unknown."""
        return self._operators_by_key_hash.get(key_hash)

    def engines(self, class_name: str, model: str) -> tuple[str, ...]:
        """Return the names of the engines of a model that a class may use."""
        return self._engines_by_model.get((class_name, model), ())

    def services(self, class_name: str, service: str) -> tuple[str, ...]:
        """Return the names of the servers of a service that a class may use."""
        return self._servers_by_service.get((class_name, service), ())

    def models(self, classes: tuple[str, ...]) -> tuple[str, ...]:
        """Return the models that any of the classes may use, sorted."""
        return tuple(
            sorted(
                {
                    model
                    for name, model in self._engines_by_model
                    if name in classes
                }
            ),
        )

    def _add_server(
        self,
        class_name: str,
        server_name: str,
        server: BackendServer,
    ) -> None:
        if server.kind is BackendKind.engine:
            for model in server.models:
                _append_server(
                    self._engines_by_model, (class_name, model), server_name
                )
        elif server.service is not None:
            _append_server(
                self._servers_by_service,
                (class_name, server.service),
                server_name,
            )


def _append_server(
    table: dict[tuple[str, str], tuple[str, ...]],
    key: tuple[str, str],
    server_name: str,
) -> None:
    table[key] = (*table.get(key, ()), server_name)


__all__ = ('ConfigurationIndex', 'TeamEntry')

"""What the log says of a store that does not serve the topic of duties."""

from __future__ import annotations

import asyncio
from collections.abc import MutableMapping
from typing import Any

from burdockledge.duties import StoreFailure
from tests.duties.site import Site, run_site


def test_each_outage_of_the_topic_is_logged_once(
    log: list[MutableMapping[str, Any]],
) -> None:
    """Guards against duties that nobody does, without a word why."""

    async def scenario(site: Site) -> None:
        for _ in range(2):
            site.topic.refused.add('h1')
            await site.start(*(['h1'] if not site.processes else []))
            await asyncio.sleep(12)
            site.topic.refused.clear()
            await asyncio.sleep(12)
        warnings = [
            line
            for line in log
            if line['log_level'] == 'warning'
            and line['event'] == 'Claims are not read.'
        ]
        refused = StoreFailure.refused.value
        assert [line['why'] for line in warnings] == [refused, refused]

    run_site(scenario)

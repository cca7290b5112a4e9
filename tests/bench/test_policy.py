"""The committed policy page matches its data; runs are deterministic."""

from __future__ import annotations

from pathlib import Path

from burdockledge.bench import load_runs, render_policy, run_policies

DOCS = Path(__file__).parent.parent.parent / 'docs'


def test_page_matches_recorded_data() -> None:
    """A change to only one of the page and its data fails."""
    runs = load_runs(DOCS / 'data' / 'policy.json')
    assert (DOCS / 'POLICY.md').read_text('utf-8') == render_policy(runs)


def test_same_seed_gives_same_metrics() -> None:
    """Steady traffic is answered completely and equally in both runs."""
    first = run_policies('steady', 'blackthorn-vale', 3)
    second = run_policies('steady', 'blackthorn-vale', 3)
    assert first == second
    router_metrics = first[0]
    assert router_metrics.policy == 'leads'
    for tier in router_metrics.tiers.values():
        assert tier.answered == tier.sent

"""Tests of the choice of links."""

import testtools

from knapweedtally.core.membership import overlay

FLEETS = ([1], [2], [3, 3, 3], [2, 3, 4], [20, 20, 20], [73] * 11)


def build_live(sizes: list[int]) -> dict[str, str]:
    return {
        f"dc{place}-h{number}": f"dc{place}"
        for place, size in enumerate(sizes, 1)
        for number in range(1, size + 1)
    }


def build_links(live: dict[str, str]) -> dict[str, set[str]]:
    links: dict[str, set[str]] = {name: set() for name in live}
    for name, data_centre in live.items():
        for peer in overlay.list_wanted(name, data_centre, live):
            links[name].add(peer)
            links[peer].add(name)
    return links


def count_hops(links: dict[str, set[str]], start: str) -> dict[str, int]:
    hops = {start: 0}
    edge = [start]
    while edge:
        reached = [
            (peer, hops[name] + 1) for name in edge for peer in links[name]
        ]
        edge = []
        for peer, count in reached:
            if peer not in hops:
                hops[peer] = count
                edge.append(peer)
    return hops


class OverlayTest(testtools.TestCase):
    def test_every_host_is_reached_in_few_hops(self) -> None:
        for sizes in FLEETS:
            live = build_live(sizes)
            links = build_links(live)
            hops = count_hops(links, min(live))
            self.assertEqual(live.keys(), hops.keys())
            self.assertLessEqual(max(hops.values()), 8)

    def test_few_links_per_host_at_any_size(self) -> None:
        for sizes in FLEETS:
            links = build_links(build_live(sizes))
            self.assertLessEqual(sum(map(len, links.values())), 8 * len(links))
            self.assertLessEqual(max(map(len, links.values())), 16)

    def test_no_host_links_to_itself(self) -> None:
        for sizes in FLEETS:
            for name, peers in build_links(build_live(sizes)).items():
                self.assertNotIn(name, peers)

    def test_small_data_centres_link_every_host_to_each_other_one(
        self,
    ) -> None:
        live = build_live([3, 3, 3])
        for name, data_centre in live.items():
            wanted = overlay.list_wanted(name, data_centre, live)
            places = {live[peer] for peer in wanted}
            self.assertEqual({"dc1", "dc2", "dc3"}, places)

    def test_the_fleet_stays_connected_when_any_one_host_dies(self) -> None:
        for sizes in ([3, 3, 3], [20, 20, 20]):
            links = build_links(build_live(sizes))
            for dead in links:
                rest = {
                    name: peers - {dead}
                    for name, peers in links.items()
                    if name != dead
                }
                hops = count_hops(rest, min(rest))
                self.assertEqual(rest.keys(), hops.keys())

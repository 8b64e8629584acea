"""Tests of the overlay of links."""

import testtools

from knapweedtally.core.membership import overlay

CLUSTER_SIZES = ([1], [2], [3, 3, 3], [2, 3, 4], [20, 20, 20], [73] * 11)


def build_live(sizes: list[int]) -> dict[str, str]:
    return {
        f"dc{data_centre}-h{number}": f"dc{data_centre}"
        for data_centre, size in enumerate(sizes, 1)
        for number in range(1, size + 1)
    }


def build_links(live: dict[str, str]) -> dict[str, set[str]]:
    links: dict[str, set[str]] = {name: set() for name in live}
    for name, data_centre in live.items():
        for peer in overlay.list_wanted_peers(name, data_centre, live):
            links[name].add(peer)
            links[peer].add(name)
    return links


def count_hops(links: dict[str, set[str]], start: str) -> dict[str, int]:
    hops = {start: 0}
    frontier = [start]
    while frontier:
        reached = [
            (peer, hops[name] + 1) for name in frontier for peer in links[name]
        ]
        frontier = []
        for peer, count in reached:
            if peer not in hops:
                hops[peer] = count
                frontier.append(peer)
    return hops


class OverlayTest(testtools.TestCase):
    def test_every_host_is_reached_in_few_hops(self) -> None:
        for sizes in CLUSTER_SIZES:
            live = build_live(sizes)
            links = build_links(live)
            hops = count_hops(links, min(live))
            self.assertEqual(live.keys(), hops.keys())
            self.assertLessEqual(max(hops.values()), 8)

    def test_few_links_per_host_at_any_size(self) -> None:
        for sizes in CLUSTER_SIZES:
            links = build_links(build_live(sizes))
            self.assertLessEqual(sum(map(len, links.values())), 8 * len(links))
            self.assertLessEqual(max(map(len, links.values())), 16)

    def test_no_host_links_to_itself(self) -> None:
        for sizes in CLUSTER_SIZES:
            for name, peers in build_links(build_live(sizes)).items():
                self.assertNotIn(name, peers)

    def test_small_data_centres_link_every_host_to_each_other_one(
        self,
    ) -> None:
        live = build_live([3, 3, 3])
        for name, data_centre in live.items():
            wanted = overlay.list_wanted_peers(name, data_centre, live)
            data_centres = {live[peer] for peer in wanted}
            self.assertEqual({"dc1", "dc2", "dc3"}, data_centres)

    def test_the_cluster_stays_connected_when_any_one_host_dies(self) -> None:
        for sizes in ([3, 3, 3], [20, 20, 20]):
            links = build_links(build_live(sizes))
            for dead in links:
                survivors = {
                    name: peers - {dead}
                    for name, peers in links.items()
                    if name != dead
                }
                hops = count_hops(survivors, min(survivors))
                self.assertEqual(survivors.keys(), hops.keys())

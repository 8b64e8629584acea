"""Quotas: how all hosts together keep the limits of teams.

The bound. Let a team have the rate r and the burst b, split into n slices, and
let the lease be l. Within a window w, targets receive operations

* whose tokens were granted in the window or up to l before it. A slice's bucket
  holds at most max(c, b / n) tokens, where c is ``slices.MIN_CAPACITY``, and
  gains r / n a second, so all slices grant at most r (w + l) + b + c n. This
  holds also where a data centre is divided: the shares of the parts add up to
  one (``rules.compute_share``). A bucket that a host takes over starts empty,
  so it grants only what flowed in since, and its predecessor is gone or grants
  nothing any more;
* of the a tokens with which a slice starts whose allocator has just started
  (``slices.compute_start_level``), a n m in all for m starts of each slice;
* that used the allowance, at most the spare s over all hosts.

Let t be what r l + c n leaves of the tolerance w r e + b e + k, where e is the
excess and k the slack. a n m is at most 0.8 t, and s is half of what is left
then (``slices.compute_spare``). The sum is at most (r w + b) (1 + e) + k if
t >= 0, which holds for l = 0.25 s, w = 5 s, e = 0.1, k = 20 and n <= 6. For
each second in which two allocators grant from one slice, r / n comes on top;
the other half, at least r / 8 + 1 for n = 3, covers it for 0.375 s at any rate,
and for longer the lower r is.

A host that starts grants once every host of its data centre that the store
lists has answered it, as each of these then takes it for live and grants
nothing from the slices for which it comes first. A host that doesn't answer may
still grant, so the start then takes ``rules.SETTLING_TIME_S``. One that its
data centre hasn't heard for 6 s is marked in the list and not waited for: if it
runs, it hasn't heard the others either and grants its own part at most, which
the new allocator leaves to it, as it counts the listed hosts as heard. Hosts
act on what they have heard within a periodic check, so two grant at once for
less than 0.1 s.
"""

#!/usr/bin/env python3
"""Prints how fairly the accounts of a play were served, from the logs of all routers.

Usage: fairness.py PLAY_OUTPUT, the output of a play with the logs of all routers. The share of an account is what began
to run for it over the lesser of what it requested and what the best served account got, second by second, in spans of six
seconds in each of which a request of the account was refused or late. Three of the largest requests count as served.
Requests that a relay refused have no cost in the log, and each router logs only some of the lines of an event, so that the
share of an account whose callers meet few routers can be off in either direction.
"""
import collections
import json
import re
import sys

LINE = re.compile(r"^\s*(-?[\d.]+) (\S+) (\{.*\})")
SPAN_S = 6
OBJECTIVE_MS = 400  # shortest objective of the deployments' model requests
LARGEST_REQUESTS = 3


def events(path):
    """Yields time, router and fields of each log line."""
    with open(path, errors="replace") as lines:
        for line in lines:
            match = LINE.match(line)
            if match:
                try:
                    yield float(match.group(1)), match.group(2), json.loads(match.group(3))
                except json.JSONDecodeError:
                    continue  # a line that the bench has cut


def read_play(path):
    """Returns cost requested and begun by account and second, the seconds in which an account was held up, and the
    cost of the largest request."""
    requested = collections.defaultdict(collections.Counter)
    begun = collections.defaultdict(collections.Counter)
    held_up = collections.defaultdict(set)
    largest = 0
    for time, _, fields in events(path):
        account = fields.get("account")
        if not account:
            continue
        if fields["event"] == "delivered":
            arrived = time - fields["total_ms"] / 1000
            began = arrived + fields["first_event_ms"] / 1000
            requested[account][int(arrived)] += fields["tokens"]
            begun[account][int(began)] += fields["tokens"]
            largest = max(largest, fields["tokens"])
            if fields["first_event_ms"] > OBJECTIVE_MS:
                held_up[account].update((int(arrived), int(began)))
        elif fields["event"] == "ended":
            arrived = time - fields["waited_ms"] / 1000
            requested[account][int(arrived)] += fields["tokens"]
            held_up[account].update((int(arrived), int(time)))
        elif fields["event"] == "refused":
            held_up[account].add(int(time))
    return requested, begun, held_up, largest


def least_shares(requested, begun, held_up, largest):
    """Returns the least share of each account with the second at which its span begins, worst first."""
    seconds = 1 + max((max(counts) for counts in requested.values()), default=0)
    best = [max((counts[second] for counts in begun.values()), default=0) for second in range(seconds)]
    least = {}
    for account, counts in requested.items():
        for first in range(seconds - SPAN_S + 1):
            span = range(first, first + SPAN_S)
            due = sum(min(counts[second], best[second]) for second in span)
            if due > 0 and all(second in held_up[account] for second in span):
                served = LARGEST_REQUESTS * largest + sum(begun[account][second] for second in span)
                least[account] = min(least.get(account, (float("inf"), 0)), (served / due, first))
    return sorted((share, first, account) for account, (share, first) in least.items())


def main():
    if len(sys.argv) != 2:
        sys.exit(__doc__)
    requested, begun, held_up, largest = read_play(sys.argv[1])
    for share, first, account in least_shares(requested, begun, held_up, largest)[:10]:
        print(f"{share:6.3f}  {account}  from {first} s")


if __name__ == "__main__":
    main()

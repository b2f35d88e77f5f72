"""Reads the log of a day that the bench played with `--log all`."""

import collections
import re

LINE = re.compile(r"^\s*(-?[\d.]+) (\S+) \S+ \[\w+\] \w+: (.*)$")
FIELD = re.compile(r'(\w+)=("[^"]*"|\S*)')


def events(log):
    """(second, box, event, fields) of each line of the boxes, in order of time."""
    found = []
    for line in log.open(errors="replace"):
        match = LINE.match(line)
        if match:
            fields = {name: value.strip('"') for name, value in FIELD.findall(match[3])}
            if "event" in fields:
                found.append((float(match[1]), match[2], fields["event"], fields))
    found.sort(key=lambda it: it[0])
    return found


def requests(lines):
    """The lines of each attempt of a client."""
    by_id = collections.defaultdict(list)
    for at, box, event, fields in lines:
        if "id" in fields and event in ("placed", "failed", "answered", "resumed", "broken", "refused", "client_left", "client_cut"):
            by_id[fields["id"]].append((at, box, event, fields))
    by_id.pop("-", None)
    return by_id

"""`python -m tamarindfold.node`: one ingress on the platform, in the foreground, until SIGTERM."""

from __future__ import annotations

import gc
import os
import signal
import sys
from pathlib import Path

import gevent
from gevent.event import Event

from tamarindfold.node.ingress import Node
from tamarindfold.node.logs import logger
from tamarindfold.platform import configuration

VARIABLE = "RELAY_CONFIG"
YOUNG, MIDDLE, OLD = 20_000, 20, 50  # collections: nearly all dies by reference counts


def _reload(path: Path, told: list[Node]) -> None:
    """Guards against a file that can't be read: all stays as it was. Before there is a node, its own reading
    of the file is still to come, or nothing yields between that and the node."""
    if not told:
        return
    (node,) = told
    try:
        discovery, counter = configuration.addresses(path.read_bytes())
    except (OSError, ValueError) as error:
        node.log("node.configuration_unusable", reason=str(error))
        return
    node.move(discovery, counter)


def main() -> int:
    """Exit 0 after SIGTERM, 2 with one plain line where the ingress can't be started."""
    stop = Event()
    told: list[Node] = []
    gevent.signal_handler(signal.SIGTERM, stop.set)
    gevent.signal_handler(signal.SIGINT, stop.set)
    path = Path(os.environ.get(VARIABLE, ""))
    gevent.signal_handler(signal.SIGHUP, lambda: _reload(path, told))
    try:
        if not os.environ.get(VARIABLE):
            raise ValueError("is not set; it names the configuration file")
        config = configuration.read(path.read_bytes())
        node = Node(config, logger(config.name))
        told.append(node)
        node.start(stop)
    except (OSError, ValueError) as error:
        print(f"tamarindfold.node: {VARIABLE}: {error}", file=sys.stderr)
        return 2
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG, MIDDLE, OLD)
    stop.wait()
    node.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())

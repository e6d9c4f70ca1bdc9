"""`python -m tamarindfold.node`: runs one ingress on the platform in the foreground until SIGTERM."""

from __future__ import annotations

import gc
import os
import signal
import sys
from pathlib import Path

import gevent
from gevent.event import Event

from tamarindfold.node.logs import logger
from tamarindfold.node.server import Node, resident_peak_bytes
from tamarindfold.platform import configuration

CONFIG_VARIABLE = "RELAY_CONFIG"

# garbage collection is infrequent: nearly all objects are freed by reference counting
GC_THRESHOLD_0 = 20_000
GC_THRESHOLD_1 = 20
GC_THRESHOLD_2 = 50


def _reload(path: Path, nodes: list[Node]) -> None:
    """Apply the addresses in the changed configuration file; an invalid file changes nothing.

    If there is no node yet, nothing needs to be done: it will be created from the current file, as nothing
    yields between reading the file and creating the node.
    """
    if not nodes:
        return
    (node,) = nodes
    try:
        discovery, counter = configuration.addresses(path.read_bytes())
    except (OSError, ValueError) as error:
        node.log("node.configuration_unusable", reason=str(error))
        return
    node.change_addresses(discovery, counter)


def main() -> int:
    """Return 0 after SIGTERM or SIGINT, 2 after a one-line error message if the ingress can't start."""
    stop = Event()
    nodes: list[Node] = []
    gevent.signal_handler(signal.SIGTERM, stop.set)
    gevent.signal_handler(signal.SIGINT, stop.set)
    path = Path(os.environ.get(CONFIG_VARIABLE, ""))
    gevent.signal_handler(signal.SIGHUP, lambda: _reload(path, nodes))
    try:
        if not os.environ.get(CONFIG_VARIABLE):
            raise ValueError("is not set; it names the configuration file")
        config = configuration.read(path.read_bytes())
        node = Node(config, logger(config.name), resident_peak_bytes())
        nodes.append(node)
        node.start(stop)
    except (OSError, ValueError) as error:
        print(f"tamarindfold.node: {CONFIG_VARIABLE}: {error}", file=sys.stderr)
        return 2
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_0, GC_THRESHOLD_1, GC_THRESHOLD_2)
    stop.wait()
    node.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())

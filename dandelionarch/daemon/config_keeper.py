"""The operator's configuration: followed in the store, taken from peers, kept."""

import logging

from dandelionarch.daemon.follower import Follower
from dandelionarch.errors import ConfigError
from dandelionarch.logs import event

log = logging.getLogger(__name__)


class ConfigKeeper:
    """Puts the newest configuration in force that the store or a peer has.

    Parameters
    ----------
    topic : KeyedLog
    config_format : ConfigFormat
    routing : ActiveRouting
    on_change : callable
        Takes each `RoutingConfig` that comes into force.
    rng : random.Random, optional
    rests : callable
        Returns True while peers follow the store for this daemon.

    Attributes
    ----------
    value : bytes
        The record in force as it stands in the store.
    """

    def __init__(
        self, topic, config_format, routing, on_change, rng=None, rests=lambda: False
    ):
        self.value = b""
        self.follower = Follower(topic, self._on_records, rng=rng, rests=rests)
        self._format = config_format
        self._routing = routing
        self._on_change = on_change

    def _on_records(self, records):
        for record in records:
            if record.key == self._format.key and record.value:
                self.take(record.value, "store")

    def take(self, value, source):
        """Put a record of the operator in force if it is a newer one."""
        try:
            config = self._format.decode(value)
        except ConfigError as exc:
            event(log, "config_unreadable", logging.ERROR, source=source, detail=exc)
            return
        previous = self._routing.revision
        if not self._routing.activate(config):
            return
        self.value = value
        event(
            log,
            "config_in_force",
            revision=config.revision,
            previous=previous,
            routes=len(config.routes),
            source=source,
        )
        self._on_change(config)

"""Applies the operator's configuration from the store or from peers."""

import logging

from dandelionarch.core.record_delta import RecordHistory
from dandelionarch.daemon.follower import Follower
from dandelionarch.errors import ConfigError, DeltaError
from dandelionarch.logs import event

log = logging.getLogger(__name__)

# A change is to be in force within 2 s; copies between daemons take a part of that.
FIRST_POLL_S = 0.5


class ConfigKeeper:
    """Activates the newest configuration that the store or a peer has.

    Parameters
    ----------
    topic : KeyedLog
    config_format : ConfigFormat
    routing : ActiveRouting
    on_change : callable
        Called with each `RoutingConfig` that becomes active.
    rng : random.Random, optional
    can_skip_reads : callable
        Returns True while enough peers follow the store in place of this daemon.
    on_restored : callable, optional
        Called when the store has come back from an older copy.

    Attributes
    ----------
    history : RecordHistory
        The latest active configurations as encoded in the store.
    """

    def __init__(
        self,
        topic,
        config_format,
        routing,
        on_change,
        rng=None,
        can_skip_reads=lambda: False,
        on_restored=lambda: None,
    ):
        self.history = RecordHistory()
        self.follower = Follower(
            topic,
            self._on_batch,
            rng=rng,
            can_skip_reads=can_skip_reads,
            first_poll_s=FIRST_POLL_S,
            on_restored=on_restored,
        )
        self._format = config_format
        self._routing = routing
        self._on_change = on_change

    def _on_batch(self, batch):
        for record in batch.records:
            if record.key == self._format.key and record.value:
                self.apply_record(record.value, "store")

    def apply_record(self, value, source):
        """Activate the configuration in a record if it is newer than the active one.

        Parameters
        ----------
        value : bytes
        source : str
            "store" or the id of the VM that sent it, for the log.
        """
        try:
            config = self._format.decode(value)
        except ConfigError as exc:
            event(log, "config_unreadable", logging.ERROR, source=source, detail=exc)
            return
        previous = self._routing.revision
        if not self._routing.activate(config):
            return
        self.history.add(config.revision, value)
        event(
            log,
            "config_in_force",
            revision=config.revision,
            previous=previous,
            routes=len(config.routes),
            source=source,
        )
        self._on_change(config)

    def apply_delta(self, delta, source):
        """Activate the configuration that a peer's `RecordDelta` leads to."""
        try:
            value = self.history.restore(delta)
        except DeltaError as exc:
            event(
                log,
                "config_delta_unusable",
                logging.WARNING,
                source=source,
                base=delta.base,
                detail=exc,
            )
            return
        self.apply_record(value, source)

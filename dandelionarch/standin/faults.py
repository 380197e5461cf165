"""Gray failures that a worker stand-in shows on request."""

import time
from dataclasses import dataclass, fields


@dataclass(slots=True)
class Faults:
    """The failures in force; see `dandelion-standin worker` for the control path.

    Attributes
    ----------
    prefix : str
        Only paths that start with it are affected.
    slow : float
        Factor on the time that work takes.
    errors : float
        Share of requests, 0 to 1, that get status 500.
    hang, truncate, refuse : bool
        Never answer; break off in the middle of the answer; refuse as not run.
    healthy_probes : bool
        Answer probes as if nothing was wrong.
    flap_s : float
        The failures come and go with this half period; 0 means they stay.
    """

    prefix: str = "/"
    slow: float = 1.0
    errors: float = 0.0
    hang: bool = False
    truncate: bool = False
    refuse: bool = False
    healthy_probes: bool = True
    flap_s: float = 0.0

    @classmethod
    def from_dict(cls, values):
        """Return the failures of a control request.

        Raises
        ------
        ValueError
            If a name is unknown or a value has the wrong type.
        """
        known = {field.name: field.type for field in fields(cls)}
        for name, value in values.items():
            if name not in known:
                raise ValueError(f"unknown fault {name!r}; known: {', '.join(known)}")
            number = isinstance(value, int | float) and known[name] is float
            if not number and type(value) is not known[name]:
                raise ValueError(f"{name}: expected {known[name].__name__}")
        return cls(**values)

    def active(self, path):
        """Return True if the failures affect a path now."""
        if not path.startswith(self.prefix):
            return False
        return not self.flap_s or int(time.monotonic() / self.flap_s) % 2 == 0

    @property
    def any(self):
        """Return True if any failure is set."""
        broken = self.hang or self.truncate or self.refuse
        return broken or self.slow != 1.0 or self.errors > 0

"""Gray failures that tests inject into a worker stand-in."""

import time
from dataclasses import dataclass, fields


@dataclass(slots=True)
class Faults:
    """The active failures of a worker, set by `POST /standin/faults`.

    Attributes
    ----------
    prefix : str
        Only requests whose path starts with it are affected.
    slow : float
        Factor by which the time of work is multiplied.
    errors : float
        Share of requests, 0 to 1, that are answered with status 500.
    hang, truncate, refuse : bool
        Never answer; abort in the middle of the answer; refuse requests as not run.
    healthy_probes : bool
        Whether probes are answered as healthy.
    flap_s : float
        Half of the period with which the failures start and stop; 0 if they persist.
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
        """Return the failures in the JSON of a control request.

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

    def affects(self, path):
        """Return True if a request for a path is affected at present."""
        if not path.startswith(self.prefix):
            return False
        return not self.flap_s or int(time.monotonic() / self.flap_s) % 2 == 0

    @property
    def has_any(self):
        """Return True if any failure is set."""
        has_fault = self.hang or self.truncate or self.refuse
        return has_fault or self.slow != 1.0 or self.errors > 0

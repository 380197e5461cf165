"""Settings of the daemon, read and validated from an INI file."""

import configparser
import os
import re
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from dandelionarch.core.mechanisms import MECHANISM_NAMES
from dandelionarch.errors import SettingsError

# Reserved for closing sockets before the process is killed.
CLOSE_ALLOWANCE_S = 0.7
ADDRESS_PATTERN = r"[A-Za-z0-9_.-]+:[0-9]{1,5}"
# msgspec's messages name an invalid option by its path, a missing or unknown one as a
# field.
OPTION_PATH_PATTERN = re.compile(r"`\$\.(?:\w+\.)?(\w+)`")
OPTION_FIELD_PATTERN = re.compile(r"field `(\w+)`")

Port = Annotated[int, Meta(ge=1, le=65_535)]
Name = Annotated[str, Meta(pattern=r"^[a-z0-9-]{1,63}$")]
Address = Annotated[str, Meta(pattern=rf"^{ADDRESS_PATTERN}$")]
OptionalAddress = Annotated[str, Meta(pattern=rf"^({ADDRESS_PATTERN})?$")]


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    pass


class VmSection(_Section, kw_only=True):
    """`[daemon]`: identity and location of a daemon, and the fleet's shared key."""

    vm: Name
    data_centre: Name
    region: Name = "default"
    host: str = "127.0.0.1"
    shared_key: Annotated[str, Meta(min_length=16, max_length=256)]


class DaemonSection(VmSection, kw_only=True):
    """`[daemon]` of a daemon with gossip membership."""

    ingress_port: Port
    peer_port: Port
    gossip_port: Port
    admin_port: Port
    seeds: str = ""
    log_url: Annotated[str, Meta(pattern=r"^https?://")]

    def __post_init__(self):
        for seed in filter(None, (part.strip() for part in self.seeds.split(","))):
            host, _, port = seed.rpartition(":")
            if not host or not port.isdecimal() or not 1 <= int(port) <= 65_535:
                problem = f"{seed!r} is not HOST:PORT with port 1 to 65535"
                raise ValueError(f"{problem} - at `$.seeds`")

    @property
    def seed_addresses(self):
        """Return the peer addresses (host, port) of the seeds."""
        pairs = (seed.strip().rpartition(":") for seed in self.seeds.split(","))
        return [(host, int(port)) for host, _, port in pairs if host]


class ListenSection(_Section, kw_only=True):
    """`[listen]`: listening addresses of a daemon with a registry, as HOST:PORT.

    Attributes
    ----------
    callers : str
        For callers' requests.
    reports : str
        For reports of the endpoint on this VM.
    readiness : str
        For readiness checks, which direct callers to ready daemons.
    metrics : str
        For requests of the metrics page, which is not served if this is empty.
    peer_port : int
        For links of other daemons.
    """

    callers: Address
    reports: Address
    readiness: Address
    metrics: OptionalAddress = ""
    peer_port: Port

    @property
    def callers_address(self):
        """Return (host, port) for callers' requests."""
        return split_address(self.callers)

    @property
    def reports_address(self):
        """Return (host, port) for endpoints' reports."""
        return split_address(self.reports)

    @property
    def readiness_address(self):
        """Return (host, port) for readiness checks."""
        return split_address(self.readiness)


class EndpointSection(_Section):
    """`[endpoint]`: the endpoint on the daemon's VM; empty if there is none."""

    address: OptionalAddress = ""
    service: str = ""


class StoreSection(_Section):
    """`[store]`: the platform's store, as HOST:PORT."""

    address: Address


class StopSection(_Section):
    """`[stop]`: time limits of a planned stop.

    Attributes
    ----------
    drain_s : float
        Seconds for which callers are still served, until they act on failed readiness
        checks.
    kill_after_s : float
        Seconds from the request to stop until the process is killed.
    """

    drain_s: Annotated[float, Meta(ge=0, le=600)] = 2.5
    kill_after_s: Annotated[float, Meta(ge=1, le=3600)] = 30.0

    @property
    def timeout_s(self):
        """Return how many seconds a stop waits for requests in flight."""
        return max(0.0, self.kill_after_s - CLOSE_ALLOWANCE_S)


class RetriesSection(_Section):
    """`[retries]`: retry budget per service of the whole fleet.

    In `window_s` seconds the fleet may make `ratio` retries per request, and `slack`
    more.
    """

    ratio: Annotated[float, Meta(ge=0, le=10)] = 0.1
    slack: Annotated[float, Meta(ge=0, le=1_000_000)] = 10.0
    window_s: Annotated[float, Meta(ge=1, le=3600)] = 10.0


class MechanismsSection(_Section):
    """`[mechanisms]`: comma-separated names of mechanisms that are switched off."""

    off: Annotated[
        str,
        Meta(
            pattern=rf"^(({'|'.join(MECHANISM_NAMES)})"
            rf"(, ?({'|'.join(MECHANISM_NAMES)}))*)?$"
        ),
    ] = ""


class LogSection(_Section):
    """`[log]`: how long the platform's log keeps records.

    A checkpoint is appended after a quarter of the retention. 0 records means no limit
    by count.
    """

    retention_s: Annotated[float, Meta(ge=10, le=31_536_000)] = 86_400.0
    retention_records: Annotated[int, Meta(ge=0, le=1_000_000_000)] = 0


class LimitsSection(_Section):
    """`[limits]`: resource limits of one request or one daemon."""

    max_request_body_bytes: Annotated[int, Meta(ge=1024, le=1 << 30)] = 8 << 20
    max_response_body_bytes: Annotated[int, Meta(ge=1024, le=1 << 32)] = 64 << 20
    max_connections: Annotated[int, Meta(ge=1, le=100_000)] = 4000
    max_in_flight: Annotated[int, Meta(ge=1, le=100_000)] = 2000
    stop_timeout_s: Annotated[float, Meta(ge=0.1, le=3600)] = 30.0


class OrdersSection(_Section):
    """`[orders]`: how long an idempotency key is kept."""

    window_s: Annotated[float, Meta(ge=1, le=7 * 86_400)] = 3600.0


class StatsdSection(_Section):
    """`[statsd]`: destination of metrics; none are sent if the host is empty."""

    host: str = ""
    port: Port = 8125
    prefix: str = "dandelion"


class LogsSection(_Section):
    """`[logs]`: level and style of log lines."""

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    style: Literal["kv", "json"] = "kv"


class FaultsSection(_Section):
    """`[faults]`: fault injection for tests; must not be enabled in production."""

    enabled: bool = False


class Settings(_Section):
    """All settings of a daemon with gossip membership."""

    daemon: DaemonSection
    log: LogSection = LogSection()
    limits: LimitsSection = LimitsSection()
    orders: OrdersSection = OrdersSection()
    statsd: StatsdSection = StatsdSection()
    faults: FaultsSection = FaultsSection()
    logs: LogsSection = LogsSection()


class RegistrySettings(_Section, kw_only=True):
    """All settings of a daemon with a registry."""

    daemon: VmSection
    listen: ListenSection
    endpoint: EndpointSection = EndpointSection()
    store: StoreSection
    retries: RetriesSection = RetriesSection()
    mechanisms: MechanismsSection = MechanismsSection()
    stop: StopSection = StopSection()
    limits: LimitsSection = LimitsSection()
    logs: LogsSection = LogsSection()


def read_registry_settings(path):
    """Read and validate the settings file of a daemon with a registry.

    Raises
    ------
    SettingsError
        If the file can't be used; names file, section, option and accepted range.
    """
    return RegistrySettings(**read_sections(path, RegistrySettings))


def split_address(address):
    """Return (host, port) of a HOST:PORT text."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def read_settings(path):
    """Read and validate the settings file of a daemon with gossip membership.

    Raises
    ------
    SettingsError
        If the file can't be used; names file, section, option and accepted range.
    """
    file = os.path.basename(path)
    settings = Settings(**read_sections(path, Settings))
    _check_order_window(file, settings)
    return settings


def read_sections(path, settings):
    """Return the validated sections of an INI file by title.

    Parameters
    ----------
    path : str
    settings : type of msgspec struct
        Has one field per known section; those without a default are required.

    Raises
    ------
    SettingsError
        If the file can't be used; names file, section, option and accepted range.
    """
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    file = os.path.basename(path)
    try:
        with open(path, encoding="utf-8") as stream:
            parser.read_file(stream, source=file)
    except (OSError, UnicodeDecodeError, configparser.Error) as exc:
        raise SettingsError(file, "-", "-", str(exc).replace("\n", " ")) from exc
    fields = {field.name: field for field in msgspec.structs.fields(settings)}
    sections = {}
    for title in parser.sections():
        if title not in fields:
            known = ", ".join(fields)
            raise SettingsError(file, title, "-", f"unknown section; known: {known}")
        sections[title] = _convert_section(
            file, title, fields[title].type, dict(parser[title])
        )
    for title, field in fields.items():
        if field.required and title not in sections:
            raise SettingsError(file, title, "-", "section is missing")
    return sections


def make_settings(cls, **sections):
    """Return settings from a dict of options per section, validated like a file.

    Raises
    ------
    msgspec.ValidationError
        If an option is invalid; names its path and the accepted range.
    """
    return msgspec.convert(sections, cls, strict=False)


def _convert_section(file, title, model, options):
    """Return the validated section, or raise `SettingsError` for an invalid option."""
    try:
        return msgspec.convert(options, model, strict=False)
    except msgspec.ValidationError as exc:
        problem = str(exc)
        match = OPTION_PATH_PATTERN.search(problem) or OPTION_FIELD_PATTERN.search(
            problem
        )
        option = match[1] if match else "-"
        if option in options:
            problem = f"{problem} (got {options[option]!r})"
        raise SettingsError(file, title, option, problem) from exc


def _check_order_window(file, settings):
    # If the log truncates a claim within the window, the claim could be granted twice.
    limit_s = settings.log.retention_s / 2
    if settings.orders.window_s > limit_s:
        problem = f"must be at most half of [log] retention_s ({limit_s:g} s)"
        raise SettingsError(file, "orders", "window_s", problem)

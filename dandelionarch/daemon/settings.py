"""Settings of the daemon, read from an INI file and checked."""

import configparser
import os
from typing import Literal

import pydantic

from dandelionarch.core.lists import parse_section
from dandelionarch.errors import SettingsError

Port = pydantic.Field(ge=1, le=65_535)
# Left of the time until a process is killed for closing its sockets.
CLOSE_S = 0.7
ADDRESS = r"^[A-Za-z0-9_.-]+:[0-9]{1,5}$"


class _Section(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class VmSection(_Section):
    """Who and where a daemon is."""

    vm: str = pydantic.Field(pattern=r"^[a-z0-9-]{1,63}$")
    data_centre: str = pydantic.Field(pattern=r"^[a-z0-9-]{1,63}$")
    region: str = pydantic.Field(default="default", pattern=r"^[a-z0-9-]{1,63}$")
    host: str = "127.0.0.1"
    shared_key: str = pydantic.Field(min_length=16, max_length=256)


class DaemonSection(VmSection):
    """`[daemon]` of a daemon with gossip membership."""

    ingress_port: int = Port
    peer_port: int = Port
    gossip_port: int = Port
    admin_port: int = Port
    seeds: str = ""
    log_url: str = pydantic.Field(pattern=r"^https?://")

    @pydantic.field_validator("seeds")
    @classmethod
    def _check_seeds(cls, seeds):
        for seed in filter(None, (part.strip() for part in seeds.split(","))):
            host, _, port = seed.rpartition(":")
            if not host or not port.isdecimal() or not 1 <= int(port) <= 65_535:
                raise ValueError(f"{seed!r} is not HOST:PORT with port 1 to 65535")
        return seeds

    @property
    def seed_addresses(self):
        """Return the peer addresses (host, port) of the seeds."""
        pairs = (seed.strip().rpartition(":") for seed in self.seeds.split(","))
        return [(host, int(port)) for host, _, port in pairs if host]


class ListenSection(_Section):
    """`[listen]`: addresses of a daemon that uses a registry, as HOST:PORT.

    `callers` takes requests, `reports` what the endpoint beside it says of itself,
    `readiness` the checks that tell callers where to go, `metrics` requests for the
    page of metrics, which is not served without an address.
    """

    callers: str = pydantic.Field(pattern=ADDRESS)
    reports: str = pydantic.Field(pattern=ADDRESS)
    readiness: str = pydantic.Field(pattern=ADDRESS)
    metrics: str = pydantic.Field(default="", pattern=rf"{ADDRESS}|^$")
    peer_port: int = Port

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
    """`[endpoint]`: the endpoint beside the daemon; empty while there is none."""

    address: str = pydantic.Field(default="", pattern=rf"{ADDRESS}|^$")
    service: str = ""


class StoreSection(_Section):
    """`[store]`: the platform's store, as HOST:PORT."""

    address: str = pydantic.Field(pattern=ADDRESS)


class StopSection(_Section):
    """`[stop]`: what a planned stop has to keep.

    Callers are served for `drain_s` more, until their readiness checks have taken
    effect; the process is killed `kill_after_s` after it was told to stop.
    """

    drain_s: float = pydantic.Field(default=2.5, ge=0, le=600)
    kill_after_s: float = pydantic.Field(default=30.0, ge=1, le=3600)

    @property
    def timeout_s(self):
        """Return until when requests in flight are waited for."""
        return max(0.0, self.kill_after_s - CLOSE_S)


class RetriesSection(_Section):
    """`[retries]`: attempts after the first that a whole fleet may make per service.

    In `window_s` seconds `ratio` per request, and `slack` more.
    """

    ratio: float = pydantic.Field(default=0.1, ge=0, le=10)
    slack: float = pydantic.Field(default=10.0, ge=0, le=1_000_000)
    window_s: float = pydantic.Field(default=10.0, ge=1, le=3600)


class LogSection(_Section):
    """`[log]`: how long the platform's log keeps records.

    Checkpoints are appended at a quarter of it; 0 records means no limit by count.
    """

    retention_s: float = pydantic.Field(default=86_400.0, ge=10, le=31_536_000)
    retention_records: int = pydantic.Field(default=0, ge=0, le=1_000_000_000)


class LimitsSection(_Section):
    """`[limits]`: bounds on what one request or one daemon may take."""

    max_request_body_bytes: int = pydantic.Field(default=8 << 20, ge=1024, le=1 << 30)
    max_response_body_bytes: int = pydantic.Field(default=64 << 20, ge=1024, le=1 << 32)
    max_connections: int = pydantic.Field(default=4000, ge=1, le=100_000)
    max_in_flight: int = pydantic.Field(default=2000, ge=1, le=100_000)
    stop_timeout_s: float = pydantic.Field(default=30.0, ge=0.1, le=3600)


class OrdersSection(_Section):
    """`[orders]`: how long an idempotency key is remembered."""

    window_s: float = pydantic.Field(default=3600.0, ge=1, le=7 * 86_400)


class StatsdSection(_Section):
    """`[statsd]`: where metrics go; none are sent without a host."""

    host: str = ""
    port: int = pydantic.Field(default=8125, ge=1, le=65_535)
    prefix: str = "dandelion"


class LogsSection(_Section):
    """`[logs]`: level and style of log lines."""

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    style: Literal["kv", "json"] = "kv"


class FaultsSection(_Section):
    """`[faults]`: fault injection for tests; never enabled where callers are served."""

    enabled: bool = False


class Settings(pydantic.BaseModel):
    """All settings of a daemon."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    daemon: DaemonSection
    log: LogSection = LogSection()
    limits: LimitsSection = LimitsSection()
    orders: OrdersSection = OrdersSection()
    statsd: StatsdSection = StatsdSection()
    faults: FaultsSection = FaultsSection()
    logs: LogsSection = LogsSection()


class RegistrySettings(pydantic.BaseModel):
    """All settings of a daemon that uses a registry."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    daemon: VmSection
    listen: ListenSection
    endpoint: EndpointSection = EndpointSection()
    store: StoreSection
    retries: RetriesSection = RetriesSection()
    stop: StopSection = StopSection()
    limits: LimitsSection = LimitsSection()
    logs: LogsSection = LogsSection()


def read_registry_settings(path):
    """Read and check the settings file of a daemon that uses a registry.

    Raises
    ------
    SettingsError
        With file, section, option and accepted range.
    """
    return RegistrySettings(**read_sections(path, RegistrySettings))


def split_address(address):
    """Return (host, port) of a HOST:PORT text."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def read_settings(path):
    """Read and check the settings file of a daemon with gossip membership.

    Raises
    ------
    SettingsError
        With file, section, option and accepted range.
    """
    file = os.path.basename(path)
    settings = Settings(**read_sections(path, Settings))
    _check_window(file, settings)
    return settings


def read_sections(path, settings):
    """Return the checked sections of an INI file by title.

    Parameters
    ----------
    path : str
    settings : type of pydantic model
        One field per known section; those without a default must be there.

    Raises
    ------
    SettingsError
        With file, section, option and accepted range.
    """
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    file = os.path.basename(path)
    try:
        with open(path, encoding="utf-8") as stream:
            parser.read_file(stream, source=file)
    except (OSError, UnicodeDecodeError, configparser.Error) as exc:
        raise SettingsError(file, "-", "-", str(exc).replace("\n", " ")) from exc
    fields, parts = settings.model_fields, {}
    for title in parser.sections():
        if title not in fields:
            known = ", ".join(fields)
            raise SettingsError(file, title, "-", f"unknown section; known: {known}")
        options = dict(parser[title])
        model = fields[title].annotation
        parts[title] = parse_section(file, title, model, options, SettingsError)
    for title, field in fields.items():
        if field.is_required() and title not in parts:
            raise SettingsError(file, title, "-", "section is missing")
    return parts


def _check_window(file, settings):
    # A claim that is truncated within the window could be granted a second time.
    limit_s = settings.log.retention_s / 2
    if settings.orders.window_s > limit_s:
        problem = f"must be at most half of [log] retention_s ({limit_s:g} s)"
        raise SettingsError(file, "orders", "window_s", problem)

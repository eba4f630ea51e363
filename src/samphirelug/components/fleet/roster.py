"""Know which entry hosts run, without messages between all of them.

Each host sends a beat to a few others; one of these tells all hosts when the
beats stop and the host does not answer when asked.
"""

from collections.abc import Iterable
import logging
from typing import NamedTuple

import xxhash

from samphirelug.components.fleet import const
from samphirelug.components.fleet import model

_LOGGER = logging.getLogger(__name__)


class Instruction(NamedTuple):
    """Hold a notice to send and the hosts that get it."""

    notice: "Notice"
    to: tuple[model.HostInstance, ...]


class Notice(NamedTuple):
    """Tell something about an entry host."""

    kind: str
    # Names the host that the notice is about.
    name: str
    incarnation: str


class HostRecord:
    """Hold what is known of another entry host."""

    def __init__(self, *, host: model.HostInstance, now: float) -> None:
        self.host = host
        self.heard_at_s = now
        self.absent = False
        self.leaving = False
        # Set while this host gets its beats.
        self.monitored = False
        self.asked = False


class HostRoster:
    """Decide who runs, and what to tell whom."""

    def __init__(self, *, own: model.HostInstance) -> None:
        self.own = own
        self.records: dict[str, HostRecord] = {}
        self.ticked_at_s: float | None = None

    @property
    def count(self) -> int:
        """Return the known hosts, this one and absent ones included."""
        return 1 + len(self.records)

    def serving(self) -> list[model.HostInstance]:
        """Return the other hosts that run and are not leaving."""
        return [
            record.host
            for record in self.records.values()
            if not record.absent and not record.leaving
        ]

    def take_list(
        self, hosts: Iterable[model.HostInstance], *, now: float
    ) -> None:
        """Take over the hosts that the store lists."""
        for host in hosts:
            if host.name == self.own.name:
                continue
            record = self.records.get(host.name)
            if record is None:
                self.records[host.name] = HostRecord(host=host, now=now)
                _LOGGER.info(
                    "entry host known",
                    extra={"host": host.name, "zone": host.zone.name},
                )
            elif record.host != host:
                record.host = host

    def beat_targets(self) -> tuple[model.HostInstance, ...]:
        """Return the hosts that watch over this one."""
        serving = sorted(self.serving(), key=lambda h: _position(h.name))
        own = _position(self.own.name)
        after = [h for h in serving if _position(h.name) > own]
        before = [h for h in serving if _position(h.name) <= own]
        return tuple((after + before)[: const.MONITORS])

    def tick(self, *, now: float) -> list[Instruction]:
        """Return the beats and notices that are due."""
        if (
            self.ticked_at_s is not None
            and now - self.ticked_at_s > const.PAUSED_AFTER_S
        ):
            # This process stood still, so silence says nothing.
            for record in self.records.values():
                record.heard_at_s = max(record.heard_at_s, now)
        self.ticked_at_s = now
        due = [Instruction(self._about_self(const.BEAT), self.beat_targets())]
        for record in self.records.values():
            silent_s = now - record.heard_at_s
            if record.absent or not record.monitored:
                continue
            if silent_s >= const.ABSENT_AFTER_S:
                record.monitored = False
                self._mark_absent(record, "silent", silent_s)
                notice = Notice(
                    const.ABSENT, record.host.name, record.host.incarnation
                )
                due.append(Instruction(notice, tuple(self.serving())))
            elif silent_s >= const.ASK_AFTER_S:
                due.append(
                    Instruction(self._about_self(const.ASK), (record.host,))
                )
        return due

    def hello(self) -> Instruction:
        """Return the notice of a host that has started."""
        return Instruction(self._about_self(const.BEAT), tuple(self._all()))

    def leave(self) -> Instruction:
        """Return the notice of a host that is about to stop."""
        return Instruction(self._about_self(const.LEAVING), tuple(self._all()))

    def receive(self, notice: Notice, *, now: float) -> list[Instruction]:
        """Take over a notice and return the answers to it."""
        if notice.name == self.own.name:
            if notice.kind == const.ABSENT:
                # Another host could not reach this one for a while.
                return [self.hello()]
            return []
        record = self.records.get(notice.name)
        if record is None:
            return []
        if notice.kind == const.ABSENT:
            if (
                notice.incarnation == record.host.incarnation
                and now - record.heard_at_s > const.ASK_AFTER_S
            ):
                self._mark_absent(record, "told", now - record.heard_at_s)
            return []
        if notice.kind == const.PRESENT:
            self._mark_present(record, notice)
            return []
        record.heard_at_s = now
        if notice.kind == const.LEAVING:
            record.leaving = True
            record.monitored = False
            _LOGGER.info("entry host leaves", extra={"host": notice.name})
            return []
        answers = []
        if notice.kind == const.ASK:
            beat = self._about_self(const.BEAT)
            answers.append(Instruction(beat, (record.host,)))
        else:
            record.monitored = True
        if record.absent:
            present = Notice(const.PRESENT, notice.name, notice.incarnation)
            answers.append(Instruction(present, tuple(self.serving())))
        self._mark_present(record, notice)
        return answers

    def _all(self) -> list[model.HostInstance]:
        return [record.host for record in self.records.values()]

    def _about_self(self, kind: str) -> Notice:
        return Notice(kind, self.own.name, self.own.incarnation)

    def _mark_absent(
        self, record: HostRecord, reason: str, silent_s: float
    ) -> None:
        if record.absent:
            return
        record.absent = True
        _LOGGER.info(
            "entry host absent",
            extra={
                "host": record.host.name,
                "reason": reason,
                "silent_s": round(silent_s, 3),
            },
        )

    def _mark_present(self, record: HostRecord, notice: Notice) -> None:
        if notice.incarnation != record.host.incarnation:
            record.host = record.host._replace(incarnation=notice.incarnation)
            record.leaving = False
        if record.absent:
            record.absent = False
            _LOGGER.info("entry host present", extra={"host": notice.name})


def _position(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode())

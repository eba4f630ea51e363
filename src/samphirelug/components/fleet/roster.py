"""Detect which entry hosts are running; no input or output.

To avoid traffic between all pairs of hosts, each host sends beats only to a
few monitors, the next hosts on a ring. Monitors can fail with the host that
they monitor, or start after it was lost. Therefore each host goes backwards on
the ring until it reaches enough hosts that it has heard of lately, and asks
those in between to answer. If one does not, all hosts are notified that it is
absent.
"""

from collections.abc import Callable
from collections.abc import Iterable
import logging
from typing import NamedTuple

from samphirelug.components.fleet import const
from samphirelug.components.fleet import evacuations as fleet_evacuations
from samphirelug.components.fleet import host_record
from samphirelug.components.fleet import model
from samphirelug.components.fleet import ring

_LOGGER = logging.getLogger(__name__)


class OutgoingNotice(NamedTuple):
    """Hold a notice and the hosts to send it to."""

    notice: "Notice"
    recipients: tuple[model.HostInstance, ...]


class Notice(NamedTuple):
    """Report the state of an entry host, or ask a host for a beat.

    It concerns its sender, unless it is ABSENT or PRESENT.
    """

    # One of the kinds in const.
    kind: str
    # Name of the host that the notice concerns.
    name: str
    incarnation: str
    # What the sender of a beat knows; None if it has not read the store.
    evacuations: model.Evacuations | None = None


class HostRoster:
    """Track the states of the entry hosts and return notices to send."""

    def __init__(self, *, own: model.HostInstance) -> None:
        self.own = own
        self.records: dict[str, host_record.HostRecord] = {}
        self.last_check_at_s: float | None = None
        # Incremented whenever the hosts that serve may have changed.
        self.generation = 0
        # Whether the current entries of the hosts are known.
        self.listed = False
        # Whether this host can serve requests. Until then it sends no notices,
        # so that look-up answers of other hosts do not list it again after a
        # restart.
        self.is_ready: Callable[[], bool] = lambda: True
        # Whether this host is about to become ready.
        self.is_starting: Callable[[], bool] = lambda: False
        # Times since which hosts have been asked without an answer, by name.
        self.asked_at_s: dict[str, float] = {}
        # The hosts that serve, as of a generation.
        self.ring = ring.HostRing(own=own, hosts=())
        self.ring_generation = 0
        # Set when the followers of the store exist.
        self.evacuations: fleet_evacuations.EvacuationExchange | None = None

    @property
    def count(self) -> int | None:
        """Return the number of hosts, None until the store's list is read.

        It includes this host and absent ones.
        """
        return 1 + len(self.records) if self.listed else None

    def has_lost_host(self, *, now: float, since_s: float) -> bool:
        """Return whether a host that sends beats here stopped after a time."""
        return any(
            (record.monitored or record.reported_absent)
            and since_s <= record.heard_at_s < now - const.ASK_AFTER_S
            for record in self.records.values()
        )

    def serving(self) -> list[model.HostInstance]:
        """Return the other hosts that are neither absent nor leaving."""
        return [
            record.host
            for record in self.records.values()
            if not record.absent and not record.leaving
        ]

    def update_from_list(
        self, hosts: Iterable[model.HostInstance], *, now: float
    ) -> None:
        """Add or update hosts by their current entries; none is removed."""
        self.listed = True
        for host in hosts:
            if host.name == self.own.name:
                continue
            record = self.records.get(host.name)
            if record is None:
                self._add(host, now)
                continue
            if record.host.incarnation != host.incarnation:
                record.left_at_s = None
                record.leaving = False
                if record.heard and not record.was_heard_lately(now):
                    # It announces itself when it can serve.
                    self._mark_absent(
                        record, "starts again", now - record.heard_at_s
                    )
            if record.unlisted_at_s is not None:
                record.unlisted_at_s = None
                # The store may carry out a registration after the removal.
                record.leaving = record.left_at_s is not None
                self.generation += 1
            if record.host != host:
                record.host = host
                self.generation += 1

    def add_known(
        self, hosts: Iterable[model.HostInstance], *, now: float
    ) -> None:
        """Add hosts that are not known yet, by entries that may be old."""
        for host in hosts:
            if host.name != self.own.name and host.name not in self.records:
                self._add(host, now)

    def remove_listed(self, name: str, *, now: float) -> None:
        """Record that the entry of a host was removed.

        It stops, and counts until it has certainly stopped.
        """
        record = self.records.get(name)
        if record is None or record.unlisted_at_s is not None:
            return
        record.unlisted_at_s = now
        record.leaving = True
        self.generation += 1
        _LOGGER.info("entry of entry host removed", extra={"host": name})

    def not_running(self) -> list[str]:
        """Return the names of the hosts that are absent or leaving."""
        return [
            name
            for name, record in self.records.items()
            if record.absent or record.leaving
        ]

    def adopt_absent(
        self, names: Iterable[str], *, now: float, source: str
    ) -> None:
        """Mark hosts as absent that another host calls so, and ask them.

        A host that has just started has not heard of the others yet, and
        would list those in look-up answers that stopped before.
        """
        for name in names:
            record = self.records.get(name)
            if record is None or record.heard or record.absent:
                continue
            record.ask_count = const.ASK_REPORTED_COUNT
            self._mark_absent(
                record, f"reported by {source}", now - record.heard_at_s
            )

    def stopped(self, *, now: float) -> list[model.HostInstance]:
        """Return the hosts that stopped and still have an entry.

        They could not remove it when they left, or were lost long ago.
        """
        return [
            record.host
            for record in self.records.values()
            if record.unlisted_at_s is None
            and (
                (
                    record.left_at_s is not None
                    and now - record.left_at_s > const.LEFT_AFTER_S
                )
                or (
                    record.absent
                    and now - record.heard_at_s > const.LOST_AFTER_S
                )
            )
        ]

    def _add(self, host: model.HostInstance, now: float) -> None:
        self.records[host.name] = host_record.HostRecord(host=host, now=now)
        self.generation += 1
        _LOGGER.info(
            "entry host added",
            extra={"host": host.name, "zone": host.zone.name},
        )

    def _forget_stopped(self, now: float) -> None:
        for name, record in list(self.records.items()):
            if (
                record.unlisted_at_s is not None
                and now - record.unlisted_at_s > const.FORGET_AFTER_S
            ):
                del self.records[name]
                self.generation += 1
                _LOGGER.info("entry host forgotten", extra={"host": name})

    def monitors(self) -> tuple[model.HostInstance, ...]:
        """Return the next hosts on the ring, which monitor this one."""
        return self._current_ring().next(const.MONITORS_PER_HOST)

    def _current_ring(self) -> ring.HostRing:
        if self.ring_generation != self.generation:
            self.ring_generation = self.generation
            self.ring = ring.HostRing(own=self.own, hosts=self.serving())
        return self.ring

    def tick(self, *, now: float) -> list[OutgoingNotice]:
        """Return the beats and notices that are due."""
        self._reset_silences_after_suspension(now)
        self._forget_stopped(now)
        due = []
        if self.is_ready():
            beat = self._own_notice(const.BEAT)
            due.append(OutgoingNotice(beat, self.monitors()))
            due += [self._ask(record) for record in self._absent_to_ask(now)]
        return due + self.check(now=now)

    def _absent_to_ask(self, now: float) -> list[host_record.HostRecord]:
        """Return the hosts to ask since they may be absent by mistake."""
        absent = [
            record
            for record in self.records.values()
            if record.absent and not record.leaving
        ]
        due = [record for record in absent if record.ask_count]
        for record in due:
            record.ask_count -= 1
        if absent:
            longest = min(absent, key=lambda record: record.checked_at_s)
            if longest not in due:
                due.append(longest)
        for record in due:
            record.checked_at_s = now
        return due

    def check(self, *, now: float) -> list[OutgoingNotice]:
        """Return questions to hosts that may not run, and absence notices."""
        self._reset_silences_after_suspension(now)
        silent = self._silent_records(now)
        self.asked_at_s = {
            record.host.name: self.asked_at_s.get(record.host.name, now)
            for record in silent
        }
        due = []
        for record in silent:
            asked_s = now - self.asked_at_s[record.host.name]
            if asked_s < const.ANSWER_WITHIN_S or not self.is_ready():
                due.append(self._ask(record))
                continue
            del self.asked_at_s[record.host.name]
            due.append(self._report_absent(record, now))
        return due

    def _reset_silences_after_suspension(self, now: float) -> None:
        """Start all silences anew if this process could not receive beats."""
        if (
            self.last_check_at_s is not None
            and now - self.last_check_at_s > const.SUSPENDED_AFTER_S
        ):
            for record in self.records.values():
                record.heard_at_s = max(record.heard_at_s, now)
            self.asked_at_s.clear()
        self.last_check_at_s = now

    def _silent_records(self, now: float) -> list[host_record.HostRecord]:
        """Return the hosts whose running this host has to check."""
        silent = [
            record
            for record in self.records.values()
            if record.monitored
            and not record.absent
            and not record.leaving
            and now - record.heard_at_s >= const.ASK_AFTER_S
        ]
        heard_count = 0
        for host in self._current_ring().previous():
            record = self.records[host.name]
            if record.was_heard_lately(now):
                heard_count += 1
                if heard_count == const.MONITORS_PER_HOST:
                    break
            elif record not in silent:
                silent.append(record)
            if len(silent) >= const.MAX_ASKED_HOSTS:
                break
        return silent

    def _report_absent(
        self, record: host_record.HostRecord, now: float
    ) -> OutgoingNotice:
        """Mark a host as absent and return the notice to all hosts.

        It goes to that host as well, which contradicts it if it runs, and to
        hosts that may just be starting again.
        """
        record.monitored = False
        record.reported_absent = True
        self._mark_absent(record, "silent", now - record.heard_at_s)
        notice = Notice(
            const.ABSENT, record.host.name, record.host.incarnation
        )
        return OutgoingNotice(notice, tuple(self._known_hosts()))

    def _ask(self, record: host_record.HostRecord) -> OutgoingNotice:
        return OutgoingNotice(self._own_notice(const.ASK), (record.host,))

    def start_notice(self) -> OutgoingNotice:
        """Return a notice to all known hosts that this host runs."""
        return OutgoingNotice(
            self._own_notice(const.ALIVE), tuple(self._known_hosts())
        )

    def leaving_notice(self) -> OutgoingNotice:
        """Return a notice to all known hosts that this host will stop."""
        return OutgoingNotice(
            self._own_notice(const.LEAVING), tuple(self._known_hosts())
        )

    def answer(self) -> Notice | None:
        """Return the answer to an ASK; None while this host stops."""
        if self.is_ready():
            return self._own_notice(const.ALIVE)
        if self.is_starting():
            return self._own_notice(const.STARTING)
        return None

    def receive(self, notice: Notice, *, now: float) -> list[OutgoingNotice]:
        """Apply a received notice and return the notices to send for it.

        An ASK says nothing about whether its sender serves: see answer().
        """
        if notice.name == self.own.name:
            if notice.kind == const.ABSENT and self.is_ready():
                # A monitor received no beats from this host for a while and
                # has reported it as absent to all hosts.
                return [self.start_notice()]
            return []
        record = self.records.get(notice.name)
        if record is None:
            return []
        if notice.kind == const.ABSENT:
            if notice.incarnation == record.host.incarnation and not (
                record.was_heard_lately(now)
            ):
                self._mark_absent(record, "reported", now - record.heard_at_s)
            return []
        if notice.kind == const.PRESENT:
            self._mark_present(record, notice)
            return []
        if notice.kind == const.STARTING:
            return self._handle_starting(record, notice, now)
        self.asked_at_s.pop(notice.name, None)
        record.heard_at_s = now
        record.heard = True
        # Those who reported it as absent report that it is back.
        reports_return = record.reported_absent or notice.kind == const.BEAT
        record.reported_absent = False
        if notice.kind == const.LEAVING:
            record.leaving = True
            if record.left_at_s is None:
                record.left_at_s = now
            self.generation += 1
            record.monitored = False
            _LOGGER.info("entry host is leaving", extra={"host": notice.name})
            return []
        answers = []
        # A host that answers and sends no beats has other monitors.
        record.monitored = notice.kind == const.BEAT
        if notice.evacuations is not None and self.evacuations is not None:
            self.evacuations.receive(notice.evacuations, host=notice.name)
        if record.absent and reports_return:
            present = Notice(const.PRESENT, notice.name, notice.incarnation)
            answers.append(OutgoingNotice(present, tuple(self.serving())))
        self._mark_present(record, notice)
        return answers

    def _handle_starting(
        self, record: host_record.HostRecord, notice: Notice, now: float
    ) -> list[OutgoingNotice]:
        """Wait for a host that starts; report one that served before."""
        self.asked_at_s.pop(notice.name, None)
        if record.absent or notice.incarnation == record.host.incarnation:
            return []
        return [self._report_absent(record, now)] if record.heard else []

    def _known_hosts(self) -> list[model.HostInstance]:
        return [record.host for record in self.records.values()]

    def _own_notice(self, kind: str) -> Notice:
        evacuations = None
        if kind in (const.BEAT, const.ALIVE) and self.evacuations is not None:
            evacuations = self.evacuations.current()
        return Notice(kind, self.own.name, self.own.incarnation, evacuations)

    def _mark_absent(
        self, record: host_record.HostRecord, reason: str, silent_s: float
    ) -> None:
        if record.absent:
            return
        record.absent = True
        self.generation += 1
        _LOGGER.info(
            "entry host is absent",
            extra={
                "host": record.host.name,
                "reason": reason,
                "silent_s": round(silent_s, 3),
            },
        )

    def _mark_present(
        self, record: host_record.HostRecord, notice: Notice
    ) -> None:
        if notice.incarnation != record.host.incarnation:
            record.host = record.host._replace(incarnation=notice.incarnation)
            record.leaving = False
            record.left_at_s = None
            self.generation += 1
        if record.absent:
            record.absent = False
            self.generation += 1
            _LOGGER.info(
                "entry host is running again", extra={"host": notice.name}
            )

"""Admit requests of teams by their allowances."""

import abc
import asyncio
import collections
import logging

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from samphirelug.components.allowance import const
from samphirelug.components.allowance import holder
from samphirelug.components.allowance import io_datagrams
from samphirelug.components.allowance import model
from samphirelug.components.metrics import forwarding as forwarding_metrics
from samphirelug.components.routing import model as routing_model
from samphirelug.components.routing import table
from samphirelug.helpers import log_rate
from samphirelug.helpers import timer as timer_helper
from samphirelug import result_codes

_LOGGER = logging.getLogger(__name__)
# A token, or None for a request that needs none.
Admission = Result[holder.Token | None, result_codes.Refusal]


class AllowanceGate(abc.ABC):
    """Admit requests of teams."""

    @abc.abstractmethod
    async def acquire(
        self, *, team: routing_model.Team | None, now: float
    ) -> Admission:
        """Return a token, or TEAM_LIMIT; may wait for MAX_WAIT_S."""

    @abc.abstractmethod
    def give_back(self, token: holder.Token | None) -> None:
        """Return the token of a request that reached no server."""


class OpenGate(AllowanceGate):
    """Admit every request."""

    async def acquire(
        self, *, team: routing_model.Team | None, now: float
    ) -> Admission:
        """Return no token."""
        del team, now
        return Success(None)

    def give_back(self, token: holder.Token | None) -> None:
        """Do nothing."""


class TeamState:
    """Hold the requests of a team that wait, and how long it is refused."""

    def __init__(self) -> None:
        self.waiting: collections.deque[
            asyncio.Future[holder.Token | None]
        ] = collections.deque()
        self.refused = 0
        self.refused_since_s: float | None = None
        self.refused_at_s = 0.0


class TeamGate(AllowanceGate):
    """Admit requests of teams by the tokens of this host."""

    def __init__(
        self,
        *,
        configuration: table.ConfigurationState,
        protocol: io_datagrams.AllowanceProtocol,
        timer: timer_helper.TimerService,
        metrics: forwarding_metrics.ForwardingMetrics,
    ) -> None:
        self.configuration = configuration
        self.protocol = protocol
        self.node = protocol.node
        self.holder = protocol.node.holder
        self.timer = timer
        self.metrics = metrics
        self.table: table.RouteTable | None = None
        # Keys of the teams by name, and their labels in metrics.
        self.keys: dict[str, int] = {}
        self.labels: dict[str, str] = {}
        self.states: dict[str, TeamState] = {}
        self.log_limiter = log_rate.LogRateLimiter(
            lines_per_s=const.LIMIT_LOG_LINES_PER_S
        )
        self.opening: asyncio.Task[None] | None = None
        self.node.on_change = self._wake

    def start(self) -> None:
        """Look for limits, and open the socket once there are any."""
        self.timer.subscribe(interval_s=const.TICK_S, callback=self._tick)
        self.timer.subscribe(
            interval_s=const.REPORT_INTERVAL_S, callback=self._report_back
        )

    def _tick(self) -> None:
        self.update()
        if self.protocol.transport is not None:
            self.protocol.tick()
        elif self.keys and (self.opening is None or self.opening.done()):
            self.opening = asyncio.ensure_future(self._open())

    async def _open(self) -> None:
        try:
            await self.protocol.open()
        except OSError:
            _LOGGER.exception("cannot open the socket for allowances")
            await self.timer.sleep(const.REOPEN_DELAY_S)

    def update(self) -> None:
        """Apply the limits of the configuration in force."""
        if self.configuration.table is self.table:
            return
        self.table = self.configuration.table
        configuration = self.configuration.configuration
        teams = configuration.teams if configuration is not None else ()
        self.node.set_teams(teams, now=self.timer.monotonic())
        limits = self.node.limits.values()
        self.keys = {limit.name: limit.key for limit in limits}
        largest = sorted(
            limits, key=lambda limit: (-limit.requests_per_s, limit.name)
        )
        self.labels = {
            limit.name: limit.name[: const.MAX_NAME_LENGTH]
            for limit in largest[: const.MAX_TEAM_LABELS]
        }

    async def acquire(
        self, *, team: routing_model.Team | None, now: float
    ) -> Admission:
        """Return a token, or TEAM_LIMIT; may wait for MAX_WAIT_S."""
        self.update()
        key = None if team is None else self.keys.get(team.name)
        if team is None or key is None:
            return Success(None)
        stock = self.holder.add_request(key, now=now)
        token = self.holder.try_take(stock, now=now)
        if token is None and (
            self.holder.judge(stock, now=now) is holder.Verdict.WAIT
        ):
            self._count(team.name, "waited")
            token = await self._wait(team.name, stock, now)
            now = self.timer.monotonic()
            if team.name not in self.keys:
                # The limit was removed meanwhile.
                return Success(None)
            if token is None:
                token = self.holder.try_take(stock, now=now)
        if token is not None:
            self._count(team.name, "spent")
            return Success(token)
        self._count(team.name, "refused")
        self._note_refusal(team.name, stock.limit, now)
        return Failure(
            result_codes.Refusal(
                result_codes.ResultCode.TEAM_LIMIT,
                "the requests of the team exceed its limit",
                self.holder.retry_after_s(stock, now=now),
            )
        )

    def give_back(self, token: holder.Token | None) -> None:
        """Return the token of a request that reached no server."""
        if token is not None:
            self.holder.give_back(token, now=self.timer.monotonic())

    async def _wait(
        self, name: str, stock: holder.TeamStock, now: float
    ) -> holder.Token | None:
        state = self.states.setdefault(name, TeamState())
        future: asyncio.Future[holder.Token | None] = (
            asyncio.get_running_loop().create_future()
        )
        due_s = now + const.MAX_WAIT_S
        timeout = self.timer.call_at(
            when_s=due_s, callback=lambda: self._end_wait(future, due_s)
        )
        state.waiting.append(future)
        stock.waiting += 1
        try:
            self.protocol.ask_soon()
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.give_back(future.result())
            raise
        finally:
            timeout.cancel()
            stock.waiting -= 1
            if future in state.waiting:
                state.waiting.remove(future)

    def _end_wait(
        self, future: asyncio.Future[holder.Token | None], due_s: float
    ) -> None:
        """Stop waiting for a token, unless its answer may have arrived.

        After a stall of the process, timers run before the datagrams that
        wait in the socket are read.
        """
        now = self.timer.monotonic()
        if now - due_s > const.STALL_S:
            self.timer.call_at(
                when_s=now + const.WAIT_AFTER_STALL_S,
                callback=lambda: _resolve(future),
            )
            return
        _resolve(future)

    def _wake(self, stock: holder.TeamStock) -> None:
        """Give tokens to requests that wait, or refuse them."""
        state = self.states.get(stock.limit.name)
        if state is None:
            return
        now = self.timer.monotonic()
        while state.waiting:
            if state.waiting[0].done():
                state.waiting.popleft()
                continue
            token = self.holder.try_take(stock, now=now)
            if token is None:
                break
            state.waiting.popleft().set_result(token)
        if now < stock.refuse_until_s:
            while state.waiting:
                _resolve(state.waiting.popleft())
        elif state.waiting:
            self.protocol.ask_soon()

    def _count(self, name: str, result: str) -> None:
        label = self.labels.get(name, "other")
        self.metrics.count_allowance(label, result)

    def _note_refusal(
        self, name: str, limit: model.TeamLimit, now: float
    ) -> None:
        state = self.states.setdefault(name, TeamState())
        state.refused += 1
        state.refused_at_s = now
        if state.refused_since_s is not None:
            return
        state.refused_since_s = now
        left_out = self.log_limiter.try_acquire(now)
        if left_out is not None:
            _LOGGER.info(
                "team is over its limit",
                extra={
                    "team": name[:64],
                    "limit_per_s": limit.requests_per_s,
                    "left_out": left_out,
                },
            )

    def _report_back(self) -> None:
        now = self.timer.monotonic()
        for name, state in list(self.states.items()):
            if state.refused_since_s is None:
                if not state.waiting and name not in self.keys:
                    del self.states[name]
                continue
            if now - state.refused_at_s < const.BACK_AFTER_S:
                continue
            left_out = self.log_limiter.try_acquire(now)
            if left_out is not None:
                _LOGGER.info(
                    "team is within its limit again",
                    extra={
                        "team": name[:64],
                        "refused": state.refused,
                        "lasted_s": round(
                            state.refused_at_s - state.refused_since_s, 3
                        ),
                        "left_out": left_out,
                    },
                )
            state.refused = 0
            state.refused_since_s = None


def _resolve(future: asyncio.Future[holder.Token | None]) -> None:
    if not future.done():
        future.set_result(None)

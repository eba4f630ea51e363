"""Keep a stock of tokens of each team and ask owners for more; no I/O.

A token may be spent within its lifetime from the time at which it was asked
for, which is before it was handed out. So tokens of a host that was killed,
suspended or cut off end by themselves.
"""

import collections
from collections.abc import Mapping
from collections.abc import Sequence
import enum
import math
import random
from typing import NamedTuple

from samphirelug.components.allowance import const
from samphirelug.components.allowance import model


class Token(NamedTuple):
    """Admit one request of a team until it expires."""

    team: int
    expires_at_s: float


class Verdict(enum.Enum):
    """Represent what happens to a request without a token."""

    WAIT = "wait"
    REFUSE = "refuse"


class Question(NamedTuple):
    """Hold when tokens were asked for."""

    sent_at_s: float
    teams: tuple[int, ...]
    owner: str


class OwnerLink:
    """Hold the last answer of an owner."""

    def __init__(self) -> None:
        self.asked_at_s = float("-inf")
        self.confirmed = 0
        self.generation = 0
        # Time of the last question that was answered.
        self.answered_at_s = float("-inf")
        # Until then, fallbacks of this owner are kept.
        self.keeps_until_s = float("-inf")


class Fallback:
    """Hold a rate that is left when the owner no longer answers."""

    def __init__(self) -> None:
        self.owner = ""
        self.generation = 0
        self.per_s = 0.0
        # Number of the question for which it was named.
        self.number = 0
        self.from_s = 0.0
        self.until_s = 0.0
        # Whether it is used while the owner answers.
        self.is_used = False
        self.tokens = 0.0
        self.refilled_at_s = 0.0

    def is_left(self, now: float) -> bool:
        """Return whether it has not ended."""
        return bool(self.per_s) and now < self.until_s

    def set_times(self, sent_at_s: float) -> None:
        """Set begin and end by the time of an answered question."""
        if not self.is_used:
            self.from_s = sent_at_s + const.FALLBACK_AFTER_S
        self.until_s = sent_at_s + const.SUCCESSION_S

    def try_take(self, now: float) -> bool:
        """Take a token of it if there is one."""
        begin_s = max(self.refilled_at_s, self.from_s)
        end_s = min(now, self.until_s)
        if now >= self.until_s or end_s <= begin_s:
            return False
        self.refilled_at_s = end_s
        self.tokens = min(1.0, self.tokens + (end_s - begin_s) * self.per_s)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class TeamStock:
    """Hold the tokens of one team that this host may spend."""

    def __init__(
        self, *, limit: model.TeamLimit, now: float, credit: int = 0
    ) -> None:
        self.limit = limit
        # Number and end of tokens, in the order in which they end.
        self.tokens: collections.deque[list[float]] = collections.deque()
        self.demand_per_s = 0.0
        self.demand_at_s = now
        # Requests that wait for a token.
        self.waiting = 0
        # Host that is asked.
        self.owner = ""
        # Number and time of the newest question, None once it was answered.
        self.asked_at_s: float | None = None
        self.unanswered = 0
        self.refuse_until_s = float("-inf")
        # Until then no tokens are asked for ahead.
        self.scarce_until_s = float("-inf")
        # Until then no question is sent.
        self.pauses_until_s = float("-inf")
        self.fallback = Fallback()
        self.emergency_at_s = now
        self.last_retry_at_s = float("-inf")
        # Tokens that may be spent before they are handed out, and those that
        # were; the next answer pays for them.
        self.credit = credit
        self.debt = 0

    @property
    def is_unreachable(self) -> bool:
        """Return whether the owner does not answer."""
        return self.unanswered >= const.UNREACHABLE_AFTER

    def count(self, now: float) -> int:
        """Return the number of tokens that have not expired."""
        while self.tokens and self.tokens[0][1] <= now:
            self.tokens.popleft()
        return int(sum(item[0] for item in self.tokens))

    def take(self, now: float) -> Token | None:
        """Return a token, None if there is none."""
        if not self.count(now):
            return None
        first = self.tokens[0]
        first[0] -= 1
        if not first[0]:
            self.tokens.popleft()
        return Token(self.limit.key, first[1])

    def put(self, tokens: int, expires_at_s: float) -> None:
        """Add tokens, of which some pay for those spent on credit."""
        paid = min(self.debt, tokens)
        self.debt -= paid
        tokens -= paid
        if not tokens:
            return
        self.tokens.append([tokens, expires_at_s])
        if len(self.tokens) > 1 and self.tokens[-2][1] > expires_at_s:
            self.tokens = collections.deque(
                sorted(self.tokens, key=lambda item: item[1])
            )

    def add_demand(self, now: float) -> None:
        """Count a request in this host's demand."""
        self.demand_per_s = self.demand(now) + 1.0 / const.DEMAND_TAU_S
        self.demand_at_s = now

    def demand(self, now: float) -> float:
        """Return the requests per second at this host."""
        elapsed_s = now - self.demand_at_s
        return self.demand_per_s * math.exp(-elapsed_s / const.DEMAND_TAU_S)

    def missing(self, now: float) -> int:
        """Return the number of tokens to ask for.

        Tokens are asked for ahead only if they are likely to be used.
        """
        ahead_s = min(
            const.AHEAD_S,
            const.AHEAD_LIFETIME_RATIO * self.limit.lifetime_s,
        )
        target = math.floor(self.demand(now) * ahead_s)
        if now < self.scarce_until_s:
            target = 0
        in_stock = self.count(now)
        due = self.waiting + self.debt
        if not due and in_stock * 2 > target:
            return 0
        return min(const.MAX_TOKENS, max(0, due + target - in_stock))

    def extra(self, now: float) -> int:
        """Return the number of tokens to take if there are plenty."""
        if self.count(now):
            return 0
        demand = self.demand(now) * self.limit.lifetime_s
        return min(
            const.MAX_TOKENS, math.ceil(demand * const.EXTRA_LIFETIME_RATIO)
        )


class AllowanceHolder:
    """Decide on requests by the tokens of this host."""

    def __init__(
        self,
        *,
        slack: float,
        window_s: float,
        rng: random.Random,
    ) -> None:
        self.slack = slack
        self.window_s = window_s
        self.rng = rng
        self.limits: Mapping[int, model.TeamLimit] = {}
        self.stocks: dict[int, TeamStock] = {}
        # Owners by partition, as of the hosts that serve.
        self.owners: Sequence[str] = ()
        self.links: dict[str, OwnerLink] = {}
        # Known entry hosts; None if that is not known.
        self.host_count: int | None = None
        # Open questions by their number.
        self.questions: dict[int, Question] = {}
        # An answer to this host before a restart must not match.
        self.number = rng.getrandbits(31)

    def set_limits(
        self, limits: Mapping[int, model.TeamLimit], *, now: float
    ) -> None:
        """Set the limits of all teams; a lower one shrinks fallbacks."""
        del now
        self.limits = limits
        for key, stock in list(self.stocks.items()):
            limit = limits.get(key)
            if limit is None:
                # Requests that wait are admitted by the caller.
                del self.stocks[key]
                continue
            ratio = limit.requests_per_s / stock.limit.requests_per_s
            stock.fallback.per_s *= min(1.0, ratio)
            stock.limit = limit
            if not limit.has_fallback:
                stock.fallback.per_s = 0.0

    def add_request(self, team: int, *, now: float) -> TeamStock:
        """Count a request of a team with a limit; return the team's stock."""
        stock = self.stocks.get(team)
        if stock is None:
            limit = self.limits[team]
            stock = TeamStock(
                limit=limit, now=now, credit=self._draw_credit(limit)
            )
            self.stocks[team] = stock
        stock.add_demand(now)
        return stock

    def try_take(self, stock: TeamStock, *, now: float) -> Token | None:
        """Return a token, from the stock or what is left without an owner."""
        token = stock.take(now)
        if token is not None:
            return token
        if stock.fallback.try_take(now):
            return Token(stock.limit.key, now)
        if stock.is_unreachable:
            return self._take_emergency(stock, now)
        if stock.debt < stock.credit and now >= max(
            stock.refuse_until_s, stock.scarce_until_s
        ):
            stock.debt += 1
            return Token(stock.limit.key, now)
        return None

    def _draw_credit(self, limit: model.TeamLimit) -> int:
        """Return the tokens that this host may spend on credit.

        Those of all hosts together are the credit of the team on average.
        """
        share = limit.credit / max(1, self.host_count or 1)
        return math.floor(share) + (self.rng.random() < share % 1.0)

    def _take_emergency(self, stock: TeamStock, now: float) -> Token | None:
        """Return the one token in a window that a host has without an owner.

        There is none if those of all hosts would not fit into the slack.
        """
        if (
            self.host_count is None
            or self.host_count > const.EMERGENCY_RATIO * self.slack
            or now - stock.emergency_at_s <= self.window_s
        ):
            return None
        stock.emergency_at_s = now
        return Token(stock.limit.key, now)

    def judge(self, stock: TeamStock, *, now: float) -> Verdict:
        """Return whether a request without a token may wait for one."""
        if now < stock.refuse_until_s or stock.is_unreachable:
            return Verdict.REFUSE
        return Verdict.WAIT

    def retry_after_s(self, stock: TeamStock, *, now: float) -> float:
        """Return when a refused caller shall return.

        Each is given the time of another token of this host's share.
        """
        hosts = max(1, self.host_count or 1)
        rate = stock.limit.requests_per_s
        share = min(rate, max(rate / hosts, stock.demand(now) / 2))
        earliest_s = max(const.MIN_REFUSE_S, stock.refuse_until_s - now)
        at_s = max(now + earliest_s, stock.last_retry_at_s + 1.0 / share)
        if at_s > now + const.MAX_RETRY_AFTER_S:
            # More callers than tokens: begin again at the earliest time.
            at_s = now + earliest_s
        stock.last_retry_at_s = at_s
        # Callers of other hosts are given times from the same bucket.
        return at_s - now + self.rng.uniform(0.0, 1.0 / share / 2 + 0.02)

    def give_back(self, token: Token, *, now: float) -> None:
        """Put back the token of a request that reached no server."""
        stock = self.stocks.get(token.team)
        if stock is not None and now < token.expires_at_s:
            stock.put(1, token.expires_at_s)

    def due_wants(self, *, now: float) -> dict[str, list[model.Want]]:
        """Return the questions that are due, by owner."""
        due: dict[str, list[model.Want]] = {}
        for key, stock in list(self.stocks.items()):
            want = self._want(stock, now)
            owner = stock.owner
            if want is not None:
                due.setdefault(owner, []).append(want)
                continue
            if (
                now - stock.demand_at_s > const.IDLE_S
                and not stock.waiting
                and not stock.fallback.is_left(now)
            ):
                del self.stocks[key]
        return due

    def _want(self, stock: TeamStock, now: float) -> model.Want | None:
        if stock.asked_at_s is not None:
            resend_s = (
                const.UNREACHABLE_RESEND_S
                if stock.is_unreachable
                else const.RESEND_S
            )
            if now - stock.asked_at_s < resend_s:
                return None
            stock.asked_at_s = None
            stock.unanswered += 1
        planned = self.owners[stock.limit.partition]
        if stock.owner != planned:
            stock.owner = planned
            stock.unanswered = 0
        if now < max(stock.refuse_until_s, stock.pauses_until_s):
            return None
        missing = stock.missing(now)
        if not missing and stock.is_unreachable:
            missing = 1
        if missing:
            if now - stock.demand_at_s > const.IDLE_S and not stock.waiting:
                return None
            carried_per_s = (
                stock.fallback.per_s if stock.fallback.is_left(now) else 0.0
            )
            return model.Want(
                stock.limit.key, missing, stock.extra(now), carried_per_s
            )
        if (
            stock.fallback.is_left(now)
            and stock.fallback.owner == stock.owner
            and now - stock.demand_at_s > const.IDLE_S
        ):
            # Otherwise the owner would set aside what is not needed here.
            stock.fallback.per_s = 0.0
            return model.Want(stock.limit.key, 0, 0, 0.0)
        return None

    def ask(
        self, owner: str, wants: list[model.Want], *, now: float
    ) -> model.Ask:
        """Return a question and note that it was sent."""
        self.number += 1
        for want in wants:
            stock = self.stocks[want.team]
            if want.tokens or want.extra:
                stock.asked_at_s = now
            else:
                # Answers on their way would name a fallback again.
                stock.fallback.number = self.number
        teams = tuple(want.team for want in wants if want.tokens or want.extra)
        self.questions[self.number] = Question(now, teams, owner)
        link = self.links.setdefault(owner, OwnerLink())
        link.asked_at_s = now
        return model.Ask(self.number, link.confirmed, wants)

    def owners_to_keep(self, *, now: float) -> list[str]:
        """Return the owners whose fallbacks would begin without a question."""
        return [
            name
            for name, link in self.links.items()
            if now - link.asked_at_s >= const.KEEP_INTERVAL_S
            and now < link.keeps_until_s
        ]

    def forget_questions(self, *, now: float) -> None:
        """Forget questions whose answers would come too late."""
        self.questions = {
            number: question
            for number, question in self.questions.items()
            if now - question.sent_at_s <= const.ANSWER_WITHIN_S
        }

    def receive(
        self, sender: str, answer: model.Answer, *, now: float
    ) -> list[TeamStock]:
        """Apply an answer; return the stocks that have changed."""
        question = self.questions.get(answer.number)
        if question is None or question.owner != sender:
            return []
        del self.questions[answer.number]
        if not 0.0 <= now - question.sent_at_s <= const.ANSWER_WITHIN_S:
            return []
        self._keep_fallbacks(sender, answer, question)
        changed = []
        for grant in answer.grants:
            stock = self.stocks.get(grant.team)
            if stock is None or grant.team not in question.teams:
                continue
            self._apply(stock, grant, question, answer.number, now)
            changed.append(stock)
        granted = {grant.team for grant in answer.grants}
        for team in question.teams:
            stock = self.stocks.get(team)
            if (
                team not in granted
                and stock is not None
                and stock.owner == sender
                and stock.asked_at_s == question.sent_at_s
            ):
                # The sender does not own this team.
                stock.asked_at_s = None
                stock.unanswered += 1
                # It may not know yet that it is the owner.
                stock.pauses_until_s = now + const.RESEND_S
                changed.append(stock)
        return changed

    def _apply(
        self,
        stock: TeamStock,
        grant: model.Grant,
        question: Question,
        number: int,
        now: float,
    ) -> None:
        sent_at_s = question.sent_at_s
        stock.unanswered = 0
        stock.asked_at_s = None
        if grant.tokens:
            stock.put(grant.tokens, sent_at_s + stock.limit.lifetime_s)
        if not grant.tokens:
            # Otherwise requests that wait would lead to a question at once.
            stock.pauses_until_s = now + const.RESEND_S
        if grant.refuse_s:
            stock.scarce_until_s = now + const.SCARCE_S
        if grant.refuse_s and not stock.count(now):
            stock.refuse_until_s = now + grant.refuse_s
        fallback = stock.fallback
        if number <= fallback.number:
            # A later question was answered first.
            return
        fallback.number = number
        fallback.owner = question.owner
        fallback.generation = self.links[question.owner].generation
        fallback.per_s = (
            grant.fallback_per_s if stock.limit.has_fallback else 0.0
        )
        if grant.use_fallback and not fallback.is_used:
            fallback.from_s = now
        fallback.is_used = grant.use_fallback
        fallback.set_times(sent_at_s)

    def _keep_fallbacks(
        self, owner: str, answer: model.Answer, question: Question
    ) -> None:
        """Note that an owner still keeps what it has named."""
        link = self.links[owner]
        if answer.number <= link.confirmed:
            return
        link.confirmed = answer.number
        link.generation = answer.generation
        link.answered_at_s = question.sent_at_s
        for stock in self.stocks.values():
            fallback = stock.fallback
            if (
                fallback.owner == owner
                and fallback.generation == answer.generation
                and fallback.is_left(question.sent_at_s)
            ):
                fallback.set_times(question.sent_at_s)
                link.keeps_until_s = fallback.until_s

"""Call the system as a caller does: look up hosts, run, try the next."""

import json
from typing import Any
from typing import NamedTuple

from tornado import httpclient

from samphirelug import const
from samphirelug.helpers import timer

LOOKUP_TIMEOUT_S = 2.0
# Extra time after the deadline for the answer to arrive.
ANSWER_GRACE_S = 2.0
# Refusals that concern only the entry host that sent them, so that another
# one may take the request.
NEXT_HOST_REFUSALS = ("STOPPING", "NO_SHARE", "NO_CATALOGUE")


class CallResult(NamedTuple):
    """Hold the result of one request."""

    # HTTP status; 0 if no entry host answered.
    status: int
    # Result code of a refusal; 0 for an answer.
    code: int
    # Name of the result code, "OK" for an answer, or why no answer came.
    name: str
    effect: str
    body: dict[str, Any]
    entry_host: str
    seconds: float
    # Number of entry hosts tried.
    attempts: int


class PreparedCall(NamedTuple):
    """Hold a request that can be sent to any of several entry hosts."""

    work: str
    path: str
    method: str
    body: str
    deadline_s: float
    headers: dict[str, str]


class CachedLookup(NamedTuple):
    """Hold a look-up answer and the time until which it is valid."""

    answer: dict[str, Any]
    valid_until_s: float


class Caller:
    """Send requests from one place and cache look-up answers.

    The place is the name of a region or an availability zone.
    """

    def __init__(
        self,
        *,
        lookup_urls: list[str],
        place: str,
        timer_service: timer.TimerService,
        max_clients: int = 200,
    ) -> None:
        self.lookup_urls = lookup_urls
        self.place = place
        self.timer = timer_service
        self.client = httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=max_clients
        )
        self.cache: dict[str, CachedLookup] = {}

    def close(self) -> None:
        """Close the connections."""
        self.client.close()

    async def look_up(self, work: str, *, fresh: bool = False) -> CallResult:
        """Return a look-up answer as the body of the result.

        With fresh, a cached answer is not used.
        """
        cached = self.cache.get(work)
        now = self.timer.monotonic()
        if not fresh and cached is not None and cached.valid_until_s > now:
            return CallResult(200, 0, "OK", "done", cached.answer, "", 0.0, 0)
        result = CallResult(0, 0, "NO_ANSWER", "not_run", {}, "", 0.0, 0)
        for url in self.lookup_urls:
            result = await self._fetch(
                "GET",
                f"{url}/v1/lookup/{work}?from={self.place}",
                headers={},
                body=None,
                timeout_s=LOOKUP_TIMEOUT_S,
            )
            if result.status == 200:
                break
        if result.status == 200 and not result.body.get("run_token"):
            self.cache[work] = CachedLookup(
                result.body, now + float(result.body["keep_s"])
            )
        return result

    async def call(
        self,
        work: str,
        *,
        path: str = "/",
        method: str = "POST",
        body: str = "",
        deadline_s: float = 5.0,
        work_id: str = "",
        lookup: dict[str, Any] | None = None,
    ) -> CallResult:
        """Run a request at the first entry host that accepts it.

        Pass the same look-up answer to repeat work that has a run token: it
        must go to the entry host that the token names.
        """
        started_s = self.timer.monotonic()
        if lookup is None:
            found = await self.look_up(work)
            if found.status != 200:
                return found._replace(
                    seconds=self.timer.monotonic() - started_s
                )
            lookup = found.body
        headers = {
            const.HEADER_DEADLINE_MS: str(int(deadline_s * 1000)),
            const.HEADER_HOME_REGION: self.place,
        }
        if work_id:
            headers["X-Work-Id"] = work_id
        if lookup.get("run_token"):
            headers[const.HEADER_RUN_TOKEN] = lookup["run_token"]
        request = PreparedCall(work, path, method, body, deadline_s, headers)
        result = await self._try_hosts(request, lookup, started_s)
        unserved = result.status == 0 or result.name in NEXT_HOST_REFUSALS
        if unserved and not lookup.get("run_token"):
            # No entry host of the cached look-up answer serves any more.
            found = await self.look_up(work, fresh=True)
            if found.status == 200:
                result = await self._try_hosts(request, found.body, started_s)
        if result.status == 0 or result.name in NEXT_HOST_REFUSALS:
            self.cache.pop(work, None)
        return result

    async def _try_hosts(
        self, call: PreparedCall, lookup: dict[str, Any], started_s: float
    ) -> CallResult:
        result = CallResult(0, 0, "NO_ANSWER", "not_run", {}, "", 0.0, 0)
        for attempt, host in enumerate(lookup["entry_hosts"], start=1):
            result = await self._fetch(
                call.method,
                f"{host['url']}/v1/run/{call.work}{call.path}",
                headers=call.headers,
                body=call.body if call.method not in ("GET", "HEAD") else None,
                timeout_s=call.deadline_s + ANSWER_GRACE_S,
            )
            result = result._replace(
                entry_host=host["name"],
                attempts=attempt,
                seconds=self.timer.monotonic() - started_s,
            )
            if not self._should_try_next(
                result, has_token="run_token" in lookup
            ):
                break
        return result

    def _should_try_next(self, result: CallResult, *, has_token: bool) -> bool:
        if result.status == 0:
            # Work without a run token is repeatable.
            return result.effect == "not_run" or not has_token
        return result.name in NEXT_HOST_REFUSALS

    async def _fetch(
        self,
        method: str,
        url: str,
        *,
        headers: dict[str, str],
        body: str | None,
        timeout_s: float,
    ) -> CallResult:
        started_s = self.timer.monotonic()
        request = httpclient.HTTPRequest(
            url,
            method=method,
            headers=headers,
            body=body,
            connect_timeout=timeout_s,
            request_timeout=timeout_s,
            allow_nonstandard_methods=True,
        )
        try:
            response = await self.client.fetch(request, raise_error=False)
        except ConnectionRefusedError:
            return CallResult(0, 0, "REFUSED", "not_run", {}, "", 0.0, 0)
        except (OSError, httpclient.HTTPError) as error:
            return CallResult(
                0, 0, str(error), "outcome_unknown", {}, "", 0.0, 0
            )
        seconds = self.timer.monotonic() - started_s
        return self._parse_response(response, seconds)

    def _parse_response(
        self, response: httpclient.HTTPResponse, seconds: float
    ) -> CallResult:
        if isinstance(response.error, ConnectionRefusedError):
            return CallResult(0, 0, "REFUSED", "not_run", {}, "", seconds, 0)
        if response.code == 599:
            return CallResult(
                0,
                0,
                str(response.error),
                "outcome_unknown",
                {},
                "",
                seconds,
                0,
            )
        try:
            body = json.loads(response.body or b"{}")
        except ValueError:
            body = {"text": response.body.decode("utf-8", "replace")}
        if isinstance(body, dict) and "effect" in body and "code" in body:
            return CallResult(
                response.code,
                body["code"],
                body["name"],
                body["effect"],
                body,
                "",
                seconds,
                0,
            )
        return CallResult(response.code, 0, "OK", "done", body, "", seconds, 0)

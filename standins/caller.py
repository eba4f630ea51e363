"""Call the system as a caller would: look up, run, go on to the next."""

import json
from typing import Any
from typing import NamedTuple

from tornado import httpclient

from samphirelug import const
from samphirelug.helpers import timer

LOOKUP_TIMEOUT_S = 2.0
# Time beyond the deadline that the answer may take to come back.
ANSWER_GRACE_S = 2.0
# Refusals that are about one entry host only.
NEXT_HOST_CODES = ("STOPPING", "NO_SHARE", "NO_CATALOGUE")


class CallResult(NamedTuple):
    """Hold what a caller got for one request."""

    # HTTP status; 0 where no entry host answered.
    status: int
    # Result code of a refusal; 0 for an answer.
    code: int
    name: str
    effect: str
    body: dict[str, Any]
    entry_host: str
    seconds: float
    attempts: int


class PreparedCall(NamedTuple):
    """Hold a request that any of several entry hosts may take."""

    work: str
    path: str
    method: str
    body: str
    deadline_s: float
    headers: dict[str, str]


class CachedLookup(NamedTuple):
    """Hold a look-up answer and when it stops being valid."""

    answer: dict[str, Any]
    valid_until_s: float


class Caller:
    """Send requests near one place, keeping look-up answers."""

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
        """Return a look-up answer as the body of the result."""
        kept = self.cache.get(work)
        now = self.timer.monotonic()
        if not fresh and kept is not None and kept.valid_until_s > now:
            return CallResult(200, 0, "OK", "done", kept.answer, "", 0.0, 0)
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
        """Run a request at the first entry host that takes it.

        Work with a run token is sent to the host that the token names; a
        caller repeats it with the same look-up answer.
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
        gone = result.status == 0 or result.name in NEXT_HOST_CODES
        if gone and not lookup.get("run_token"):
            # None of the hosts of a kept look-up answer serves any more.
            found = await self.look_up(work, fresh=True)
            if found.status == 200:
                result = await self._try_hosts(request, found.body, started_s)
        if result.status == 0 or result.name in NEXT_HOST_CODES:
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
            if not self._try_next(result, has_token="run_token" in lookup):
                break
        return result

    def _try_next(self, result: CallResult, *, has_token: bool) -> bool:
        if result.status == 0:
            return result.effect == "not_run" or not has_token
        return result.name in NEXT_HOST_CODES

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
        return self._read(response, seconds)

    def _read(
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

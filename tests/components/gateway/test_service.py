"""Test refusals by header block of requests with a used token."""

from unittest import mock

import pytest
from returns.result import Failure
from returns.result import Success

from samphirelug.components.gateway import const as gateway_const
from samphirelug.components.gateway import model
from samphirelug.components.gateway import service as service_module
from samphirelug import const
from samphirelug import core
from samphirelug.result_codes import Effect
from standins import builders

ROUTE = model.RunRoute("file-claim", "/x", "")


def make_service(*, token_used: bool) -> service_module.CallerService:
    """Return a service with the small catalogue."""
    parts = {
        name: mock.MagicMock()
        for name in (
            *("host", "catalogue", "admission", "executor", "lookup"),
            *("issuer", "metrics", "timer_service"),
        )
    }
    parts["catalogue"].view = builders.make_view()
    parts["admission"].refusal_for.return_value = None
    parts["executor"].is_unused.return_value = not token_used
    parts["timer_service"].monotonic.return_value = 5.0
    return service_module.CallerService(
        **parts, lag=mock.MagicMock(lag_s=0.0), host_refusal=lambda: None
    )


@pytest.mark.parametrize("token_used", [False, True])
@pytest.mark.parametrize("cause", ["deleted", "rank", "body", "memory"])
def test_request_with_used_token_is_never_refused_as_not_run(
    cause: str, token_used: bool
) -> None:
    """Guard against "not run" for work that may have run already.

    The host that gets the repeated request may have no catalogue yet or a
    newer one.
    """
    service = make_service(token_used=token_used)
    rank = core.Rank.URGENT
    length = "100"
    if cause == "deleted":
        service.catalogue.view.works.pop("file-claim")
    elif cause == "rank":
        rank = core.Rank.EXPORT
    elif cause == "body":
        length = str(const.MAX_BODY_BYTES)
    else:
        service.buffered_bytes = gateway_const.MAX_BUFFERED_BYTES + 1
    checked = service.check_headers(
        rank=rank,
        method="POST",
        route=ROUTE,
        fields={const.HEADER_RUN_TOKEN: "t", "Content-Length": length},
    )
    if not token_used:
        assert isinstance(checked, Failure)
        assert checked.failure().code.effect is Effect.NOT_RUN
    elif cause == "memory":
        assert isinstance(checked, Failure)
        assert checked.failure().code.effect is Effect.OUTCOME_UNKNOWN
    else:
        assert isinstance(checked, Success)
        assert checked.unwrap().max_body_bytes == const.MAX_BODY_BYTES

"""Test what the header block of a repeated request is refused for."""

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


def make_service(*, repeat: bool) -> service_module.CallerService:
    """Return a service whose host has the small catalogue."""
    parts = {
        name: mock.MagicMock()
        for name in (
            *("host", "catalogue", "admission", "executor", "lookup"),
            *("issuer", "metrics", "timer_service"),
        )
    }
    parts["catalogue"].view = builders.make_view()
    parts["admission"].refusal_for.return_value = None
    parts["executor"].is_unused.return_value = not repeat
    parts["timer_service"].monotonic.return_value = 5.0
    return service_module.CallerService(
        **parts, lag=mock.MagicMock(lag_s=0.0), host_refusal=lambda: None
    )


@pytest.mark.parametrize("repeat", [False, True])
@pytest.mark.parametrize("change", ["deleted", "rank", "body", "memory"])
def test_repeat_is_never_refused_as_not_run(change: str, repeat: bool) -> None:
    """Guards against "not run" for work whose token was used before.

    The host that is asked may have no catalogue yet or a changed one.
    """
    service = make_service(repeat=repeat)
    rank = core.Rank.URGENT
    length = "100"
    if change == "deleted":
        service.catalogue.view.works.pop("file-claim")
    elif change == "rank":
        rank = core.Rank.EXPORT
    elif change == "body":
        length = str(const.MAX_BODY_BYTES)
    else:
        service.buffered_bytes = gateway_const.MAX_BUFFERED_BYTES + 1
    checked = service.check(
        rank=rank,
        method="POST",
        route=ROUTE,
        fields={const.HEADER_RUN_TOKEN: "t", "Content-Length": length},
    )
    if not repeat:
        assert isinstance(checked, Failure)
        assert checked.failure().code.effect is Effect.NOT_RUN
    elif change == "memory":
        assert isinstance(checked, Failure)
        assert checked.failure().code.effect is Effect.OUTCOME_UNKNOWN
    else:
        assert isinstance(checked, Success)
        assert checked.unwrap().max_body_bytes == const.MAX_BODY_BYTES

"""Define the numbered result codes and refusals."""

import enum
from typing import NamedTuple


class Effect(enum.StrEnum):
    """Represent what a result code says about a request's execution."""

    DONE = "done"
    NOT_RUN = "not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"
    # The code concerns an operator command or a peer, not a request.
    NONE = "none"


class ResultCode(enum.IntEnum):
    """Represent every outcome; docs/result-codes.md describes each."""

    OK = 0

    MALFORMED_REQUEST = 1001
    UNKNOWN_WORK = 1002
    TOKEN_MISSING = 1003
    TOKEN_INVALID = 1004
    TOKEN_EXPIRED = 1005
    WRONG_ENTRY_HOST = 1006
    BODY_TOO_LARGE = 1007
    HEADERS_TOO_LARGE = 1008
    UNKNOWN_PATH = 1009
    DEADLINE_INVALID = 1010
    TOKEN_REVOKED = 1011
    CREDENTIAL_UNKNOWN = 1012

    OVERLOADED = 1101
    DEADLINE_UNREACHABLE = 1102
    DEADLINE_EXPIRED = 1103
    REGION_LIMIT = 1104
    LINK_LIMIT = 1105
    SHIFT_CAP = 1106
    WORK_LIMIT = 1107
    NO_BACKEND_SERVER = 1108
    NO_CATALOGUE = 1109
    NO_SHARE = 1110
    STOPPING = 1111
    CALLER_GONE = 1112
    BACKEND_REFUSED = 1113
    BACKEND_UNREACHABLE = 1114
    LOOP_OVERLOADED = 1115
    NO_ENTRY_HOST = 1116
    TOO_MANY_CONNECTIONS = 1117
    RETRY_BUDGET_EMPTY = 1118
    TEAM_LIMIT = 1119
    CREDENTIALS_OUTDATED = 1120

    BACKEND_TIMEOUT = 2001
    BACKEND_RESET = 2002
    ANSWER_INCOMPLETE = 2003
    ANSWER_TOO_LARGE = 2004
    ENTRY_HOST_LOST = 2005
    ATTEMPT_RUNNING = 2006
    OUTCOME_NOT_KEPT = 2007
    CALLER_GONE_RUNNING = 2008
    TOKEN_EXPIRED_UNKNOWN = 2009
    INTERNAL_ERROR = 2010

    CATALOGUE_INVALID = 3001
    CATALOGUE_CONFLICT = 3002
    STORE_UNAVAILABLE = 3003
    STORE_OUTCOME_UNKNOWN = 3004
    NOT_IN_FORCE = 3005
    SETTING_INVALID = 3006
    ENTRY_HOST_UNREACHABLE = 3007
    OBJECT_NOT_FOUND = 3008
    STORE_CONFLICT = 3009
    STORE_BUDGET_EMPTY = 3010

    PEER_UNAUTHENTICATED = 4001
    PEER_VERSION_UNSUPPORTED = 4002
    PEER_MESSAGE_INVALID = 4003
    PEER_MESSAGE_TOO_LARGE = 4004
    PEER_UNREACHABLE = 4005

    @property
    def effect(self) -> Effect:
        """Return what the code says about the request's execution."""
        if self is ResultCode.OK:
            return Effect.DONE
        if self < 2000:
            return Effect.NOT_RUN
        if self < 3000:
            return Effect.OUTCOME_UNKNOWN
        return Effect.NONE

    @property
    def http_status(self) -> int:
        """Return the HTTP status of an answer with this code."""
        return _HTTP_STATUS.get(self, 503)

    @property
    def exit_code(self) -> int:
        """Return the exit code of a command that ends with this code."""
        return _EXIT_CODE.get(self, 1 if self else 0)


_HTTP_STATUS = {
    ResultCode.OK: 200,
    ResultCode.CREDENTIAL_UNKNOWN: 401,
    ResultCode.TEAM_LIMIT: 429,
    ResultCode.MALFORMED_REQUEST: 400,
    ResultCode.UNKNOWN_WORK: 404,
    ResultCode.TOKEN_MISSING: 428,
    ResultCode.TOKEN_INVALID: 403,
    ResultCode.TOKEN_EXPIRED: 410,
    ResultCode.WRONG_ENTRY_HOST: 421,
    ResultCode.BODY_TOO_LARGE: 413,
    ResultCode.HEADERS_TOO_LARGE: 431,
    ResultCode.UNKNOWN_PATH: 404,
    ResultCode.DEADLINE_INVALID: 400,
    ResultCode.TOKEN_REVOKED: 410,
    ResultCode.DEADLINE_EXPIRED: 504,
    ResultCode.BACKEND_TIMEOUT: 504,
    ResultCode.BACKEND_RESET: 502,
    ResultCode.ANSWER_INCOMPLETE: 502,
    ResultCode.ANSWER_TOO_LARGE: 502,
    ResultCode.ENTRY_HOST_LOST: 502,
    ResultCode.ATTEMPT_RUNNING: 409,
    ResultCode.OUTCOME_NOT_KEPT: 410,
    ResultCode.CALLER_GONE_RUNNING: 499,
    ResultCode.TOKEN_EXPIRED_UNKNOWN: 410,
    ResultCode.CALLER_GONE: 499,
    ResultCode.INTERNAL_ERROR: 500,
}

_EXIT_CODE = {
    ResultCode.OK: 0,
    ResultCode.SETTING_INVALID: 2,
    ResultCode.CATALOGUE_INVALID: 3,
    ResultCode.CATALOGUE_CONFLICT: 4,
    ResultCode.STORE_UNAVAILABLE: 5,
    ResultCode.STORE_OUTCOME_UNKNOWN: 6,
    ResultCode.NOT_IN_FORCE: 7,
    ResultCode.ENTRY_HOST_UNREACHABLE: 8,
    ResultCode.OBJECT_NOT_FOUND: 9,
}


class Refusal(NamedTuple):
    """Represent a refused request or failed command."""

    code: ResultCode
    detail: str
    # 0.0 if a later retry would not succeed either.
    retry_after_s: float = 0.0

"""Define the interface that decodes stored objects."""

import abc

from returns.result import Result

from samphirelug.components.fleet import model
from samphirelug.components.routing import model as routing_model
from samphirelug.components.store import model as store_model
from samphirelug import result_codes


class ObjectDecoder(abc.ABC):
    """Decode stored objects; fails with CATALOGUE_INVALID and the reason."""

    @abc.abstractmethod
    def configuration(
        self, stored: store_model.StoredObject
    ) -> Result[routing_model.Configuration, result_codes.Refusal]:
        """Return the decoded configuration."""

    @abc.abstractmethod
    def server(
        self, stored: store_model.StoredObject, *, now: float
    ) -> Result[model.ServerInstance, result_codes.Refusal]:
        """Return the decoded backend server.

        The remaining cold start time in the object is relative; now, in
        monotonic seconds, turns it into the end of the cold start.
        """

"""Hold the keys of teams, and when the store's configuration had which."""

from collections.abc import Callable
import random

# Begins every key, so that it can be searched for where none may be.
KEY_PREFIX = "soak-key-"
TEAMS = ("large", "small", "tiny")
KEYS_AT_START = 3


class KeyBook:
    """Add and remove keys, and record the configurations with them."""

    def __init__(
        self, *, rng: random.Random, clock: Callable[[], float]
    ) -> None:
        self.rng = rng
        self.clock = clock
        # Team of each key that was ever in a configuration.
        self.owners: dict[str, str] = {}
        # The first key of a team is never removed.
        self.keys = {
            team: [self._add(team) for _ in range(KEYS_AT_START)]
            for team in TEAMS
        }
        # Each state of the configuration in the store: the time since when,
        # and the keys in it, None if it is unusable.
        self.states: list[tuple[float, frozenset[str] | None]] = []

    def _add(self, team: str) -> str:
        key = f"{KEY_PREFIX}{self.rng.randbytes(12).hex()}"
        self.owners[key] = team
        return key

    def change(self) -> None:
        """Add a key to a team, or remove one that is not its first.

        Some keys are removed early and some stay long, so that there are
        requests with both long after a change.
        """
        team = self.rng.choice(TEAMS)
        if len(self.keys[team]) > 1 and self.rng.random() < 0.5:
            del self.keys[team][self.rng.randrange(1, len(self.keys[team]))]
        else:
            self.keys[team].append(self._add(team))

    def record(self, *, usable: bool = True) -> None:
        """Record that a configuration is written."""
        keys = frozenset(key for keys in self.keys.values() for key in keys)
        self.states.append((self.clock(), keys if usable else None))

    def choose(self, rng: random.Random) -> str | None:
        """Return a key for a request: mostly one that is in force."""
        draw = rng.random()
        if draw < 0.05:
            return None
        if draw < 0.12:
            return f"{KEY_PREFIX}{rng.randbytes(12).hex()}"
        if draw < 0.25:
            return rng.choice(list(self.owners))
        return rng.choice(self.keys[rng.choice(TEAMS)])

    def was_absent(
        self, key: str | None, *, from_s: float, until_s: float
    ) -> bool:
        """Return whether a key was in no configuration in a period.

        What hosts know of an unusable configuration is the one before, so
        that a period with one counts as having the key.
        """
        if key not in self.owners:
            return True
        return all(
            keys is not None and key not in keys
            for keys in self._keys_in_period(from_s, until_s)
        )

    def was_present(
        self, key: str | None, *, from_s: float, until_s: float
    ) -> bool:
        """Return whether hosts must know a key.

        Either a period has no configuration without it, or no usable one ever
        was without it.
        """
        always = self._keys_in_period(float("-inf"), until_s)
        return all(
            keys is not None and key in keys
            for keys in self._keys_in_period(from_s, until_s)
        ) or all(keys is None or key in keys for keys in always)

    def _keys_in_period(
        self, from_s: float, until_s: float
    ) -> list[frozenset[str] | None]:
        ends = [since_s for since_s, _ in self.states[1:]] + [float("inf")]
        return [
            keys
            for (since_s, keys), end_s in zip(self.states, ends, strict=True)
            if since_s <= until_s and end_s >= from_s
        ]

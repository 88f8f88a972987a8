"""Random series of losses of machines that a replica group has to survive.

A machine counts as lost while it is down, frozen, slow or cut off, for the catch-up
time after that, and as long after its start if it is new. A removed machine counts
until its successor has had that time. No more machines are lost at once than are
tolerated; `Scope.OVERLAPPING` counts only lost disks at the end of a series.
"""

import enum
import random
from dataclasses import dataclass, field

from tests.replication.virtual_group import Group, Machine

# Longer than any machine stays silent.
LONGEST_SILENCE_MS = 8_000
# Within this time, one machine fewer goes without notice than would leave half of the
# group behind: the others could not tell that from a cut between two halves.
WITHOUT_TRACE_MS = 3_000


class Scope(enum.Enum):
    """What may be lost at the end of a series."""

    COUNTED = "as many machines as are tolerated"
    OVERLAPPING = "as many disks as are tolerated, while any others are silent"


class Kind(enum.Enum):
    """A kind of loss."""

    FREEZE = "freeze"
    CUT = "cut"
    KILL = "kill"
    SLOW = "slow"
    LOSE_DISK = "lose disk"
    REPLACE = "replace, then start the successor"
    REPLACE_PLANNED = "start the successor, then replace"
    SPLIT = "split in two halves"
    KILL_ALL = "kill all"
    RETURN = "return of a removed machine"


@dataclass
class Removal:
    """A machine that was taken away for good, and what takes its place."""

    machine: Machine
    successor: Machine | None = None


@dataclass
class Losses:
    """Draws losses for a group; `log` names them for a failing test."""

    group: Group
    rng: random.Random
    catch_up_ms: int
    kinds: tuple[Kind, ...] = tuple(Kind)
    log: list[str] = field(default_factory=list)
    removals: list[Removal] = field(default_factory=list)
    _gone_without_notice_ms: list[int] = field(default_factory=list)
    _lost_until_ms: dict[str, int] = field(default_factory=dict)
    _disk_lost_until_ms: dict[str, int] = field(default_factory=dict)

    @property
    def tolerated(self):
        return self.group.setup.tolerated_losses

    def present(self):
        return [m for m in self.group.machines.values() if not m.is_gone]

    def steady(self):
        """Machines that do not count as lost."""
        return [m for m in self.present() if not self._is_lost(m)]

    def count_lost(self):
        pending = sum(removal.successor is None for removal in self.removals)
        return sum(map(self._is_lost, self.present())) + pending

    def count_lost_disks(self):
        pending = sum(removal.successor is None for removal in self.removals)
        return sum(self._has_lost_disk(m) for m in self.present()) + pending

    def _is_lost(self, machine):
        return self.group.now_ms < self._lost_until_ms.get(machine.address, 0)

    def _has_lost_disk(self, machine):
        return self.group.now_ms < self._disk_lost_until_ms.get(machine.address, 0)

    def draw(self):
        """Start one loss that is allowed now, if the drawn kind is."""
        kind = self.rng.choice(self.kinds)
        if kind in (Kind.SPLIT, Kind.KILL_ALL):
            if self.count_lost() == 0:
                self._lose_contact_of_all(kind)
        elif self.count_lost() < self.tolerated:
            self._lose_one(kind)

    def end(self, scope):
        """Lose as many disks as the scope allows; return when all machines are back."""
        if scope is Scope.COUNTED:
            count = self.tolerated - self.count_lost()
            candidates = self.steady()
        else:
            count = self.tolerated - self.count_lost_disks()
            candidates = [m for m in self.present() if not self._has_lost_disk(m)]
        lost = self.rng.sample(candidates, max(min(count, len(candidates)), 0))
        others = [m for m in self.present() if m not in lost]
        self._note(f"disks lost: {[m.address for m in lost]}")
        for machine in lost:
            self.group.after(
                self.rng.randrange(300), lambda m=machine: self._lose_disk(m, 2_000)
            )
        if self.rng.random() < 0.3:
            self._note("all others are killed")
            for machine in others:
                self._kill(machine, 1_000)
        self.group.run_for(2_500)
        self._bring_all_back()
        return self.group.now_ms

    def _bring_all_back(self):
        self.group.run_until(
            lambda: all(
                removal.successor and removal.successor.process
                for removal in self.removals
            ),
            LONGEST_SILENCE_MS,
        )
        self.group.heal(self.group.machines, self.group.machines)
        for machine in self.present():
            machine.slowdown = 1
            self.group.start(machine)
            if machine.process.is_frozen:
                machine.process.thaw()

    # Single losses.

    def _lose_one(self, kind):
        machine = self.rng.choice(self.steady())
        duration_ms = self.rng.randrange(300, LONGEST_SILENCE_MS)
        self._note(f"{kind.value}: {machine.address}")
        match kind:
            case Kind.FREEZE:
                self._freeze(machine, duration_ms)
            case Kind.CUT:
                self._cut_off(machine, duration_ms)
            case Kind.KILL:
                self._kill(machine, duration_ms)
            case Kind.SLOW:
                self._slow(machine, duration_ms)
            case Kind.LOSE_DISK:
                self._lose_disk(machine, duration_ms)
            case Kind.REPLACE:
                self._replace(machine, duration_ms // 2)
            case Kind.REPLACE_PLANNED:
                self._add_successor()
            case Kind.RETURN:
                self._return_removed()

    def _lose(self, machine, duration_ms):
        """Count a machine as lost for a time and the catch-up time after it."""
        until_ms = self.group.now_ms + duration_ms + self.catch_up_ms
        known_ms = self._lost_until_ms.get(machine.address, 0)
        self._lost_until_ms[machine.address] = max(until_ms, known_ms)

    def _freeze(self, machine, duration_ms):
        self._lose(machine, duration_ms)
        process = machine.process
        if process is not None:
            process.is_frozen = True
            self.group.after(duration_ms, process.thaw)

    def _cut_off(self, machine, duration_ms):
        self._lose(machine, duration_ms)
        others, own = list(self.group.machines), [machine.address]
        is_one_way = self.rng.random() < 0.3
        self.group.cut(own, others)
        if not is_one_way:
            self.group.cut(others, own)
        self.group.after(duration_ms, lambda: self._join_up(own, others))

    def _join_up(self, some, others):
        self.group.heal(some, others)
        self.group.heal(others, some)

    def _kill(self, machine, longest_ms):
        duration_ms = self.rng.randrange(100, longest_ms)
        self._lose(machine, duration_ms)
        self.group.kill(machine)
        self.group.after(duration_ms, lambda: self.group.start(machine))

    def _slow(self, machine, duration_ms):
        self._lose(machine, duration_ms)
        machine.slowdown = self.rng.choice([30, 200])
        self.group.after(duration_ms, lambda: setattr(machine, "slowdown", 1))

    def _lose_disk(self, machine, longest_ms):
        if machine.is_gone:
            return
        duration_ms = self.rng.randrange(300, max(longest_ms, 301))
        self._lose(machine, duration_ms)
        self._disk_lost_until_ms[machine.address] = self._lost_until_ms[machine.address]
        self.group.lose_disk(machine)
        self.group.after(duration_ms, lambda: self.group.start(machine))

    # Replacements.

    def _start_new(self):
        machine = self.group.add_machine()
        self._lose(machine, 0)
        self._disk_lost_until_ms[machine.address] = self._lost_until_ms[machine.address]
        self.group.start(machine)
        return machine

    def _replace(self, machine, delay_ms):
        removal = Removal(machine)
        self.removals.append(removal)
        self._remove(machine)

        def start_successor():
            removal.successor = self._start_new()

        self.group.after(delay_ms, start_successor)

    def _add_successor(self):
        successor = self._start_new()
        delay_ms = self.catch_up_ms + self.rng.randrange(4_000)
        self.group.after(delay_ms, lambda: self._remove_planned(successor))

    def _remove_planned(self, successor):
        older = [m for m in self.steady() if m.started_at_ms < successor.started_at_ms]
        if successor.is_gone or not older:
            return
        machine = self.rng.choice(older)
        self._note(f"planned removal: {machine.address}")
        self.removals.append(Removal(machine, successor))
        self._remove(machine)

    def _remove(self, machine):
        now_ms = self.group.now_ms
        recent = [
            at_ms
            for at_ms in self._gone_without_notice_ms
            if at_ms > now_ms - WITHOUT_TRACE_MS
        ]
        with_notice = len(recent) >= self.tolerated or self.rng.random() < 0.5
        if not with_notice:
            self._gone_without_notice_ms.append(now_ms)
        self.group.remove(machine, with_notice=with_notice)

    def _return_removed(self):
        gone = [removal for removal in self.removals if removal.successor]
        if not gone:
            return
        removal = self.rng.choice(gone)
        self.removals.remove(removal)
        machine = removal.machine
        machine.gone_at_ms, machine.started_at_ms = None, self.group.now_ms
        self._lose(machine, 0)
        self.group.start(machine)

    # Losses of contact that end nothing, whatever is tolerated.

    def _lose_contact_of_all(self, kind):
        machines = self.present()
        self._note(kind.value)
        duration_ms = self.rng.randrange(500, LONGEST_SILENCE_MS)
        if kind is Kind.KILL_ALL:
            duration_ms = 1_000
            for machine in machines:
                self._kill(machine, duration_ms)
            return
        self.rng.shuffle(machines)
        half = [m.address for m in machines[: len(machines) // 2]]
        others = [m.address for m in machines[len(machines) // 2 :]]
        self.group.cut(half, others)
        self.group.cut(others, half)
        self.group.after(duration_ms, lambda: self._join_up(half, others))
        for machine in machines:
            self._lose(machine, duration_ms)

    def _note(self, text):
        self.log.append(f"{self.group.now_ms / 1000:.2f} s {text}")

"""A replica group in virtual time: machines with disks, their processes, the links.

Processes drive the core as `Node` does: records are written before the messages that
depend on them are sent, and a write takes time in which messages arrive. The group
fails the test that runs it if a term has two leaders, if two entries are committed at
one index, or if a confirmed read misses an acknowledged command.
"""

import heapq
import itertools
import random
from dataclasses import dataclass, field

from cinderway._errors import CinderwayError
from cinderway.replication._core import Replica, Timing
from cinderway.replication._messages import (
    EntryKind,
    Member,
    Membership,
    Snapshot,
)
from tests.replication.test_core import Disk

TICK_MS = 50
JOIN_INTERVAL_MS = 300
CLIENT_INTERVAL_MS = 200
TRANSFER_TIMEOUT_MS = 1_000
LEAVE_TIMEOUT_MS = 3_000
# Entries after which a process compacts its log.
COMPACT_AT_ENTRIES = 60
CLUSTER_ID = 7
# Messages that a cut or a frozen process holds up on one link.
HELD_UP_LIMIT = 30
# A list of machines that joining replicas are given is this old.
SEED_LAG_MS = 3_000
SEEDS = 3


@dataclass(frozen=True)
class Setup:
    """The size, tolerance and speed of a group."""

    machines: int
    tolerated_losses: int
    timing: Timing
    sync_ms: int = 5
    delay_ms: int = 3

    @property
    def target_voters(self):
        return 2 * self.tolerated_losses + 1


@dataclass
class Machine:
    """A machine with a disk, which may have no process."""

    address: str
    started_at_ms: int
    disk: Disk = field(default_factory=Disk)
    replica_id: int = 0
    process: "Process | None" = None
    gone_at_ms: int | None = None
    # The disk takes this many times as long as usual.
    slowdown: int = 1

    @property
    def is_gone(self):
        return self.gone_at_ms is not None

    def is_listed_at(self, now_ms):
        """Whether a list made at a time in the past has this machine."""
        is_gone = self.is_gone and self.gone_at_ms <= now_ms
        return self.started_at_ms <= now_ms and not is_gone


class Process:
    """One run of a replica's process."""

    def __init__(self, group, machine):
        self.group = group
        self.machine = machine
        self.seeds = group.find_seeds()
        self.core = Replica(
            machine.replica_id,
            machine.address,
            machine.disk.log(),
            machine.disk.hard_state,
            group.setup.timing,
            random.Random(group.rng.random()),
            group.now_ms,
            group.setup.target_voters,
        )
        self.is_frozen = False
        self.held_up = []
        self.writing = None
        self.acknowledged_at = {}
        self.proposals = {}

    def run(self):
        """Start the periodic work, once this is the machine's process."""
        self._tick()
        self._join()

    @property
    def is_alive(self):
        return self.machine.process is self

    @property
    def is_running(self):
        return self.is_alive and not self.is_frozen

    def _tick(self):
        if self.is_running:
            self.core.tick(self.group.now_ms)
            self.flush()
        if self.is_alive:
            self.group.after(TICK_MS, self._tick)

    def _join(self):
        if self.is_running and self.core.needs_to_join:
            members = self.core.membership.members.values()
            contacts = {*self.seeds, *(member.address for member in members)}
            for address in sorted(contacts - {self.machine.address}):
                self.group.send(self, address, self.core.build_join_request())
        if self.is_alive:
            self.group.after(JOIN_INTERVAL_MS, self._join)

    def receive(self, message):
        if self.is_frozen:
            self.held_up.append(message)
            del self.held_up[: -HELD_UP_LIMIT * len(self.group.machines)]
            return
        self.core.step(message, self.group.now_ms)
        self.flush()

    def thaw(self):
        self.is_frozen = False
        held_up, self.held_up = self.held_up, []
        for message in held_up:
            if self.is_alive:
                self.receive(message)

    def flush(self):
        """Process the core's output until there is none, or until a write begins."""
        while self.is_running and self.writing is None:
            output = self.core.take_output()
            self._send_all(output.take_early_messages())
            if output.has_records:
                last = (self.core.log.last_index, self.core.log.last_term)
                self.writing = (output, self.core.hard_state, last)
                delay_ms = self.group.setup.sync_ms * self.machine.slowdown
                self.group.after(delay_ms, self._end_write)
                return
            self._finish(output)
            if not output.committed:
                return

    def _end_write(self):
        if not self.is_alive:
            return
        if self.is_frozen:
            self.group.after(TICK_MS, self._end_write)
            return
        (output, hard_state, last), self.writing = self.writing, None
        self.machine.disk.write(output, hard_state)
        self.core.record_persisted(*last)
        self._finish(output)
        self.flush()

    def _finish(self, output):
        self._send_all(output.outgoing)
        for entry in output.committed:
            self.group.record_committed(self, entry)
        for read in output.reads:
            expected = self.acknowledged_at.pop(read.read_id)
            assert read.index >= expected, "a read was stale"
            self.group.record_read()
        self.group.record_leader(self)
        self._compact()

    def _send_all(self, outgoing):
        for sent in outgoing:
            self.group.send(self, sent.address, sent.message)

    def _compact(self):
        core, disk = self.core, self.machine.disk
        index = core._delivered_index
        if index - core.log.snapshot.index < COMPACT_AT_ENTRIES:
            return
        membership = core.log.membership_at(index).encode()
        snapshot = Snapshot(index, core.log.term_at(index), membership, b"")
        disk.snapshot = snapshot
        core.compact(snapshot)

    def propose(self, command):
        try:
            index = self.core.propose(command)
        except CinderwayError:
            return
        self.proposals[index, self.core.term] = command
        self.flush()

    def read(self, read_id, acknowledged_index):
        try:
            self.core.request_read(read_id)
        except CinderwayError:
            return
        self.acknowledged_at[read_id] = acknowledged_index
        self.flush()


class Group:
    """Machines, links and clients; all randomness comes from the seed."""

    def __init__(self, setup, seed):
        self.setup = setup
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.machines = {}
        # Pairs of source and target address between which nothing passes.
        self.cuts = set()
        self.committed = {}
        self.acknowledged_index = 0
        self.read_at_ms = None
        self._leaders = {}
        self._held_up = {}
        self._actions = []
        self._order = itertools.count()
        self._replica_ids = itertools.count(1)
        self._commands = itertools.count()
        self._create()
        self._use()

    def _create(self):
        """Start a new group: the first machine creates it, the others join."""
        machines = [self.add_machine() for _ in range(self.setup.machines)]
        first = machines[0]
        first.replica_id = next(self._replica_ids)
        members = {first.replica_id: Member(first.address, is_voter=True)}
        membership = Membership(CLUSTER_ID, members)
        first.disk = Disk(Snapshot(1, 1, membership.encode(), b""))
        for machine in machines:
            self.after(self.rng.randrange(300), lambda m=machine: self.start(m))

    # Time.

    def after(self, delay_ms, action):
        """Run an action after a delay."""
        due = (self.now_ms + delay_ms, next(self._order), action)
        heapq.heappush(self._actions, due)

    def run_for(self, duration_ms):
        """Let time pass."""
        end_ms = self.now_ms + duration_ms
        while self._actions[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._actions)
            action()
        self.now_ms = end_ms

    def run_until(self, condition, timeout_ms):
        """Let time pass until a condition holds; return whether it did in time."""
        end_ms = self.now_ms + timeout_ms
        while not condition() and self.now_ms < end_ms:
            self.run_for(TICK_MS)
        return condition()

    # Machines.

    def add_machine(self):
        """Add a machine with an empty disk, without starting it."""
        machine = Machine(f"a{len(self.machines)}", self.now_ms)
        self.machines[machine.address] = machine
        return machine

    def start(self, machine):
        """Start a machine's process; with an empty disk it is a new replica."""
        if machine.is_gone or machine.process is not None:
            return
        if not machine.replica_id:
            machine.replica_id = next(self._replica_ids)
        machine.process = Process(self, machine)
        machine.process.run()

    def kill(self, machine):
        """Kill a machine's process; a write in progress may have reached the disk."""
        process, machine.process = machine.process, None
        if process is not None and process.writing and self.rng.random() < 0.5:
            output, hard_state, _ = process.writing
            machine.disk.write(output, hard_state)

    def lose_disk(self, machine):
        """Kill a machine's process and empty its disk."""
        self.kill(machine)
        machine.disk, machine.replica_id = Disk(), 0

    def remove(self, machine, *, with_notice):
        """Take a machine away for good, with or without SIGTERM before."""
        machine.gone_at_ms = self.now_ms
        process = machine.process
        if with_notice and process is not None:
            self._transfer(process, self.now_ms + TRANSFER_TIMEOUT_MS)
        else:
            self.kill(machine)

    def _transfer(self, process, deadline_ms):
        if not process.core.is_leader or self.now_ms >= deadline_ms:
            self._leave(process, self.now_ms + LEAVE_TIMEOUT_MS)
            return
        if process.is_running:
            process.core.transfer_leadership()
            process.flush()
        self.after(TICK_MS, lambda: self._transfer(process, deadline_ms))

    def _leave(self, process, deadline_ms):
        if not process.is_alive:
            return
        if not process.core.leave() or self.now_ms >= deadline_ms:
            self.kill(process.machine)
            return
        self.after(TICK_MS, lambda: self._leave(process, deadline_ms))

    def find_seeds(self):
        """Return addresses of some machines, as an outdated list has them.

        One at least is still there: nothing else tells a process of the others.
        """
        listed = [
            machine.address
            for machine in self.machines.values()
            if machine.is_listed_at(self.now_ms - SEED_LAG_MS)
        ]
        if len(listed) < SEEDS:
            return list(self.machines)[:SEEDS]
        seeds = self.rng.sample(listed, SEEDS)
        if all(self.machines[address].is_gone for address in seeds):
            present = [a for a in listed if not self.machines[a].is_gone]
            seeds[0] = self.rng.choice(present)
        return seeds

    # Links.

    def send(self, process, address, message):
        """Send a message; links keep their messages in order and lose few."""
        source = process.machine.address
        delay_ms = self.setup.delay_ms
        self.after(delay_ms, lambda: self._deliver(source, address, message))

    def _deliver(self, source, address, message):
        if (source, address) in self.cuts:
            held_up = self._held_up.setdefault((source, address), [])
            held_up.append(message)
            del held_up[:-HELD_UP_LIMIT]
            return
        machine = self.machines.get(address)
        if machine is not None and machine.process is not None:
            machine.process.receive(message)

    def cut(self, sources, targets):
        """Block messages from some addresses to others."""
        self.cuts |= {(a, b) for a in sources for b in targets if a != b}

    def heal(self, sources, targets):
        """Let messages pass again; some of those held up still arrive."""
        healed = {(a, b) for a in sources for b in targets}
        self.cuts -= healed
        for link in sorted(healed & self._held_up.keys()):
            messages = self._held_up.pop(link)
            if self.rng.random() < 0.5:
                for message in messages:
                    self._deliver(*link, message)

    # Clients, and what must hold.

    def _use(self):
        for machine in list(self.machines.values()):
            process = machine.process
            if process is not None and process.is_running and process.core.is_leader:
                command = next(self._commands)
                process.propose(b"%d" % command)
                process.read(command, self.acknowledged_index)
        self.after(CLIENT_INTERVAL_MS, self._use)

    def record_committed(self, process, entry):
        """Record an entry that a process has learned is committed."""
        known = self.committed.setdefault(entry.index, (entry.term, entry.data))
        assert known == (entry.term, entry.data), "two entries at one index"
        proposed = process.proposals.pop((entry.index, entry.term), None)
        if entry.kind is EntryKind.COMMAND and proposed == entry.data:
            self.acknowledged_index = max(self.acknowledged_index, entry.index)

    def record_read(self):
        """Record that a leader has confirmed a read."""
        self.read_at_ms = self.now_ms

    def record_leader(self, process):
        """Check that a term has one leader."""
        core = process.core
        if core.is_leader:
            holder = self._leaders.setdefault(core.term, core.replica_id)
            assert holder == core.replica_id, f"two leaders in term {core.term}"

    def find_leader(self):
        """Return the process that leads in the newest term, if any."""
        leaders = [
            machine.process
            for machine in self.machines.values()
            if machine.process is not None and machine.process.core.is_leader
        ]
        return max(leaders, key=lambda process: process.core.term, default=None)

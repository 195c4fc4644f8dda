"""Resources of a backend server: CPU, memory and GPUs."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Room:
    """An amount of the resources that tasks share on one backend server.

    Attributes:
        cpu: CPU, in thousandths of a core.
        memory_mb: Memory, in MB.
        gpu: Number of GPUs.
    """

    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0

    def holds(self, other: "Room") -> bool:
        """Whether another amount fits into this one."""
        return (
            other.cpu <= self.cpu
            and other.memory_mb <= self.memory_mb
            and other.gpu <= self.gpu
        )

    def __add__(self, other: "Room") -> "Room":
        return Room(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.gpu + other.gpu,
        )

    def __sub__(self, other: "Room") -> "Room":
        return Room(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.gpu - other.gpu,
        )


ZERO_ROOM = Room()

"""Count of the instructions that a process runs, by the processor's own counter.

On a machine that is shared with other work the processor time of a request varies by a
fifth between runs, its instructions by a hundredth.
"""

import ctypes
import os
import struct

SYS_PERF_EVENT_OPEN = 298  # x86-64
ATTRIBUTES_BYTES = 128
TYPE_HARDWARE = 0
COUNT_INSTRUCTIONS = 1
EXCLUDE_KERNEL = 1 << 5
FLAGS_OFFSET = 40
COUNT_BYTES = 8


class InstructionCounter:
    """Counts the instructions of a process outside of the kernel.

    Attributes:
        fd: File descriptor of the counter; negative if the system allows none.
    """

    def __init__(self, pid: int) -> None:
        attributes = bytearray(ATTRIBUTES_BYTES)
        struct.pack_into(
            "IIQ", attributes, 0, TYPE_HARDWARE, ATTRIBUTES_BYTES, COUNT_INSTRUCTIONS
        )
        struct.pack_into("Q", attributes, FLAGS_OFFSET, EXCLUDE_KERNEL)
        buffer = (ctypes.c_char * ATTRIBUTES_BYTES).from_buffer(attributes)
        libc = ctypes.CDLL(None)
        self.fd = libc.syscall(SYS_PERF_EVENT_OPEN, buffer, pid, -1, -1, 0)

    def read(self) -> int:
        """Return the count so far; 0 if the system allows no counter."""
        if self.fd < 0:
            return 0
        (count,) = struct.unpack("Q", os.read(self.fd, COUNT_BYTES))
        return int(count)

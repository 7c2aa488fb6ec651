"""Child processes of the test bed, which are started, signalled and ended by their handles, never by name.

The kernel kills each child when its parent dies (PR_SET_PDEATHSIG), so that none is left when the test bed
itself is killed; `Supervisor` ends all of them in every other case. This process reads each child's standard
error and writes it to the child's log, up to `MAX_LOG_BYTES`, so that a limiter whose disk refuses writes can
still report.
"""

import asyncio
import contextlib
import ctypes
import os
import resource
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec

MAX_LOG_BYTES = 4 << 20  # maximum bytes of standard error kept per process
MAX_LINE_BYTES = 1 << 20  # maximum bytes of one command or reply of a helper
SHUTDOWN_TIMEOUT_S = 8.0  # time from SIGTERM until a process is killed
COMMAND_TIMEOUT_S = 10.0  # default time-out of a helper's command
ROOT = Path(__file__).resolve().parents[3]  # the directory that contains the package
PR_SET_PDEATHSIG = 1  # from <sys/prctl.h>
_LIBC = ctypes.CDLL(None, use_errno=True) if sys.platform == "linux" else None


class ProcessFailedError(RuntimeError):
    """A process did not start, or a helper did not reply; the message names the process and the reason."""


def prepare_child() -> None:
    """Prepare a child before it executes its program.

    The child gets a session of its own, so that it doesn't receive the terminal's Ctrl-C, and is killed when
    its parent dies.
    """
    os.setsid()
    if _LIBC is not None:
        _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Process:
    """A child process. Signals go to this process only, and are ignored once it has ended.

    Attributes:
        name: Name for messages.
        args: Program and arguments.
        log: File that standard error is appended to.
        cwd: Working directory; None for that of this process.
        env: Environment.
        child: Handle of the latest process; None before the first start.
        is_paused: Whether it was paused and not resumed.
    """

    def __init__(
        self,
        name: str,
        args: list[str],
        log: Path,
        env: dict[str, str] | None = None,
        cwd: Path | None = None,
        piped: bool = False,
    ) -> None:
        """Prepare a process; `start` starts it.

        Args:
            name: Name for messages.
            args: Program and arguments.
            log: File that standard error is appended to.
            env: Variables that are added to the environment of this process.
            cwd: Working directory; None for that of this process.
            piped: Whether standard input and output are pipes; otherwise they are /dev/null.
        """
        self.name = name
        self.args = args
        self.log = log
        self.cwd = cwd
        # The child imports the same package as this process, installed or not.
        path = os.pathsep.join(filter(None, (str(ROOT), os.environ.get("PYTHONPATH"))))
        self.env = {**os.environ, "PYTHONPATH": path, **(env or {})}
        self.child: asyncio.subprocess.Process | None = None
        self.is_paused = False
        self._has_pipes = piped
        self._log_task: asyncio.Task | None = None

    @property
    def pid(self) -> int:
        """The process id; 0 before the start."""
        return self.child.pid if self.child is not None else 0

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self.child is not None and self.child.returncode is None

    async def start(self) -> "Process":
        """Start the process, or restart it after it has ended; return this object.

        Raises:
            OSError: The program can't be executed.
        """
        pipe = asyncio.subprocess.PIPE if self._has_pipes else asyncio.subprocess.DEVNULL
        self.child = await asyncio.create_subprocess_exec(
            *self.args,
            env=self.env,
            cwd=self.cwd,
            stdin=pipe,
            stdout=pipe,
            stderr=asyncio.subprocess.PIPE,
            preexec_fn=prepare_child,
            limit=MAX_LINE_BYTES,
        )
        self.is_paused = False
        self._log_task = asyncio.create_task(self._copy_log(self.child.stderr))
        return self

    async def _copy_log(self, stderr: asyncio.StreamReader) -> None:
        """Append standard error to the log until it ends, and drop what exceeds `MAX_LOG_BYTES`."""
        with open(self.log, "ab", buffering=0) as log:
            remaining = MAX_LOG_BYTES - log.tell()
            while chunk := await stderr.read(65_536):
                log.write(chunk[: max(0, remaining)])
                remaining -= len(chunk)

    def signal(self, number: int) -> bool:
        """Send a signal; return whether the process was still alive."""
        if not self.is_running:
            return False
        with contextlib.suppress(ProcessLookupError):
            self.child.send_signal(number)
        return True

    def pause(self) -> bool:
        """Stop the process (SIGSTOP); return whether it was alive."""
        self.is_paused = self.signal(signal.SIGSTOP)
        return self.is_paused

    def resume(self) -> bool:
        """Continue the process (SIGCONT); return whether it was alive."""
        self.is_paused = False
        return self.signal(signal.SIGCONT)

    async def kill(self) -> None:
        """Kill the process immediately, also when it is paused, and wait for its end."""
        self.signal(signal.SIGKILL)
        await self.wait()

    async def end(self, within_s: float = SHUTDOWN_TIMEOUT_S) -> bool:
        """Send SIGTERM, then SIGKILL after `within_s`; return whether SIGTERM was enough."""
        if not self.is_running:
            return True
        if self.is_paused:
            self.resume()
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(within_s):
                await self.child.wait()
        except TimeoutError:
            await self.kill()
            return False
        await self.wait()
        return True

    async def wait(self) -> int:
        """Wait for the exit code, and at most 1 s for the rest of standard error.

        Returns:
            The exit code, negative if a signal ended the process; 0 if it was never started.
        """
        if self.child is None:
            return 0
        code = await self.child.wait()
        if self._log_task is not None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(1.0):
                    await self._log_task
        return code

    def refuse_writes(self, refuse: bool) -> None:
        """Make the kernel refuse the process's writes to files (RLIMIT_FSIZE), or allow them again.

        Standard error is a pipe, so a process that can't write files can still report.
        """
        if self.is_running:
            hard_limit = resource.prlimit(self.pid, resource.RLIMIT_FSIZE)[1]
            resource.prlimit(self.pid, resource.RLIMIT_FSIZE, (0 if refuse else hard_limit, hard_limit))


class Helper(Process):
    """A helper process of the test bed that reads commands and writes replies, each a JSON line."""

    def __init__(self, name: str, module: str, log: Path) -> None:
        """Prepare a helper that runs a Python module, which calls `serve_commands`.

        Args:
            name: Name for messages.
            module: Full name of the module.
            log: File that standard error is appended to.
        """
        super().__init__(name, [sys.executable, "-m", module], log, piped=True)
        self._command_lock = asyncio.Lock()

    async def request(self, within_s: float | None = COMMAND_TIMEOUT_S, **command: Any) -> dict[str, Any]:
        """Send a command and return its reply.

        Args:
            within_s: Maximum time until the reply; None for no limit.
            command: Fields of the command; `do` is its name.

        Raises:
            ProcessFailedError: The reply is an `error`, the helper ended, or `within_s` passed.
        """
        async with self._command_lock:
            if not self.is_running:
                raise ProcessFailedError(f"{self.name} has ended and takes no commands, see {self.log}")
            self.child.stdin.write(msgspec.json.encode(command) + b"\n")
            try:
                # Not wait_for: before Python 3.12 it loses a cancellation that coincides with the reply.
                async with asyncio.timeout(within_s):
                    line = await self.child.stdout.readline()
            except TimeoutError:
                raise ProcessFailedError(
                    f"{self.name} did not reply to command {command.get('do')} within {within_s:g} s"
                ) from None
            if not line:
                raise ProcessFailedError(
                    f"{self.name} ended while it ran command {command.get('do')}, see {self.log}"
                )
            reply = msgspec.json.decode(line)
            if "error" in reply:
                raise ProcessFailedError(f"{self.name} failed a command: {reply['error']}")
            return reply


class Supervisor:
    """Kills all processes that it started when its `async with` block exits, normally or by an exception."""

    def __init__(self) -> None:
        """Create a supervisor without processes."""
        self._processes: list[Process] = []

    async def start(self, process: Process) -> Process:
        """Start a process, which is killed at the exit if it still runs; return it.

        Raises:
            OSError: The program can't be executed.
        """
        if process not in self._processes:
            self._processes.append(process)
        return await process.start()

    async def __aenter__(self) -> "Supervisor":
        return self

    async def __aexit__(self, *_: object) -> None:
        for process in self._processes:
            process.signal(signal.SIGKILL)
        await asyncio.shield(
            asyncio.gather(*(each.wait() for each in self._processes), return_exceptions=True)
        )


def serve_commands(handle: Callable[[Any], Awaitable[dict[str, Any] | None]]) -> None:
    """Run the child side of a `Helper`: handle each command of standard input and print its reply.

    Returns at the end of the input. If `handle` raises an exception, the reply's `error` describes it.
    """

    async def run() -> None:
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        while line := await reader.readline():
            try:
                reply = await handle(msgspec.json.decode(line)) or {}
            except Exception as error:
                reply = {"error": f"{type(error).__name__}: {error}"}
            sys.stdout.buffer.write(msgspec.json.encode(reply) + b"\n")
            sys.stdout.buffer.flush()

    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(run())


# ---- disk faults on a limiter's state folder


def wipe(folder: Path) -> None:
    """Delete all files and folders in `folder`, like a lost disk."""
    for path in sorted(folder.rglob("*"), reverse=True):
        path.rmdir() if path.is_dir() else path.unlink()


def truncate(folder: Path) -> None:
    """Truncate the newest file to half its size, as a power failure may."""
    if (path := _newest(folder)) is not None:
        os.truncate(path, path.stat().st_size // 2)


def flip_bit(folder: Path) -> None:
    """Flip one bit in the middle of the newest file, like a faulty disk."""
    path = _newest(folder)
    if path is None or not (size := path.stat().st_size):
        return
    with open(path, "r+b") as file:
        file.seek(size // 2)
        byte = file.read(1)[0]
        file.seek(size // 2)
        file.write(bytes([byte ^ 0x10]))


def _newest(folder: Path) -> Path | None:
    """Return the file that was modified last, or None without files."""
    files = [path for path in folder.rglob("*") if path.is_file()]
    return max(files, key=lambda path: (path.stat().st_mtime_ns, str(path)), default=None)
